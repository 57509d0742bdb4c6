package org.chervillift.wire;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;
import org.chervillift.runtime.settings.HostPort;

/** Passes bytes on, and can forget the connections that are open without closing them. */
final class SilentProxy implements AutoCloseable {

    private final HostPort target;
    private final ServerSocket server;
    private final AtomicInteger generation = new AtomicInteger();

    SilentProxy(HostPort target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        start(this::acceptAll);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", server.getLocalPort());
    }

    void forgetOpenConnections() {
        generation.incrementAndGet();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void acceptAll() throws IOException {
        while (true) {
            Socket in = server.accept();
            Socket out = new Socket(target.host(), target.port());
            int born = generation.get();
            start(() -> pass(in, out, born));
            start(() -> pass(out, in, born));
        }
    }

    private void pass(Socket from, Socket to, int born) throws IOException {
        InputStream in = from.getInputStream();
        OutputStream out = to.getOutputStream();
        byte[] buffer = new byte[4096];
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
            if (generation.get() == born) {
                out.write(buffer, 0, n);
            }
        }
        if (generation.get() == born) {
            to.close();
        }
    }

    private static void start(Loop loop) {
        Thread.ofVirtual().start(() -> runQuietly(loop));
    }

    private static void runQuietly(Loop loop) {
        try {
            loop.run();
        } catch (IOException e) {
            // The sockets are closed at the end of a test.
            return;
        }
    }

    private interface Loop {
        void run() throws IOException;
    }
}
