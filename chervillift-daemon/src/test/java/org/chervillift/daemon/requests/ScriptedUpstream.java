package org.chervillift.daemon.requests;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;

/** An upstream whose exact response bytes are selected by the path of the request. */
final class ScriptedUpstream implements AutoCloseable {

    private final ServerSocket server;
    private final List<String> executedRequests = new CopyOnWriteArrayList<>();
    final Semaphore responsePermits = new Semaphore(0);
    final CountDownLatch closedByDaemon = new CountDownLatch(1);

    ScriptedUpstream() {
        try {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Thread.ofVirtual().start(this::acceptAll);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns the method, path and body of all requests that ran. */
    List<String> executedRequests() {
        return executedRequests;
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String head = readHead(in);
            if (!head.isEmpty()) {
                String body =
                        new String(in.readNBytes(contentLength(head)), StandardCharsets.UTF_8);
                respond(head.split(" ")[0], head.split(" ")[1], body, socket);
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void respond(String method, String path, String body, Socket socket)
            throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        String request = method + " " + path + " " + body;
        if (path.startsWith("/leaving")) {
            write(
                    out,
                    "HTTP/1.1 503 No\r\nChervillift-Not-Run: leaving\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        executedRequests.add(request);
        switch (path.split("\\?")[0]) {
            case "/cut" -> write(out, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf");
            case "/cut-chunks" ->
                    write(
                            out,
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
            case "/no-length" -> write(out, "HTTP/1.1 200 OK\r\n\r\nhalf");
            case "/late" -> {
                responsePermits.acquire();
                write(out, completeResponse("late " + request));
            }
            case "/silent" -> {
                if (socket.getInputStream().read() < 0) {
                    closedByDaemon.countDown();
                }
            }
            default -> write(out, completeResponse(request));
        }
    }

    private static String completeResponse(String text) {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        return "HTTP/1.1 200 OK\r\nX-Of-Upstream: yes\r\nContent-Type: text/plain\r\n"
                + "Content-Length: "
                + length
                + "\r\n\r\n"
                + text;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        int c = in.read();
        while (c >= 0) {
            head.append((char) c);
            if (head.toString().endsWith("\r\n\r\n")) {
                return head.toString();
            }
            c = in.read();
        }
        return "";
    }

    private static int contentLength(String head) {
        for (String line : head.toLowerCase(Locale.ROOT).split("\r\n")) {
            if (line.startsWith("content-length:")) {
                return Integer.parseInt(line.substring("content-length:".length()).strip());
            }
        }
        return 0;
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
