import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A requester: one request a channel, with the time limit that it tells the system. */
final class Client {

    static final int LIMIT_MILLIS = 3_000;

    private Client() {}

    /** An answer; the status is 0 if there was none. */
    record Answer(int status, String body) {}

    static int status(int port, String method, String path, String host, String key, String body) {
        return call(port, method, path, host, key, body).status();
    }

    static Answer call(
            int port, String method, String path, String host, String key, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), LIMIT_MILLIS);
            socket.setSoTimeout(LIMIT_MILLIS);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(host);
            head.append("\r\nContent-Type: application/json\r\nChervillift-Deadline-Ms: ");
            head.append(LIMIT_MILLIS).append("\r\nContent-Length: ").append(bytes.length);
            if (!key.isEmpty()) {
                head.append("\r\nAuthorization: Bearer ").append(key);
            }
            head.append("\r\nConnection: close\r\n\r\n");
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            request.write(bytes);
            socket.getOutputStream().write(request.toByteArray());
            String text =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            int bodyAt = text.indexOf("\r\n\r\n");
            if (!text.startsWith("HTTP/1.1 ") || bodyAt < 0) {
                return new Answer(0, "");
            }
            return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(bodyAt + 4));
        } catch (IOException e) {
            return new Answer(0, "");
        }
    }
}
