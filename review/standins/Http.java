import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;

/** Serves JSON over HTTP on a free loopback port. */
final class Http {

    static final ObjectMapper JSON = new ObjectMapper();

    /** An answer; a null answer of a handler means that nothing is answered, ever. */
    record Answer(int status, Object body) {}

    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, JsonNode body, HttpExchange x)
                throws Exception;
    }

    private Http() {}

    /** Serves a handler that answers nothing while the way to it is cut. */
    static HttpServer serve(BooleanSupplier cut, Handler handler) throws IOException {
        return serve((method, path, query, body, x) -> {
            if (cut.getAsBoolean()) {
                return null;
            }
            Answer answer = handler.handle(method, path, query, body, x);
            return cut.getAsBoolean() ? null : answer;
        });
    }

    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", x -> exchange(handler, x));
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void exchange(Handler handler, HttpExchange x) throws IOException {
        Answer answer;
        try {
            byte[] bytes = x.getRequestBody().readAllBytes();
            JsonNode body = bytes.length == 0 ? null : JSON.readTree(bytes);
            answer = handler.handle(
                    x.getRequestMethod(), x.getRequestURI().getPath(),
                    query(x.getRequestURI().getRawQuery()), body, x);
        } catch (Exception e) {
            Record.line("STANDIN-ERROR " + e);
            answer = new Answer(500, Map.of());
        }
        if (answer == null) {
            try {
                Thread.sleep(30_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            x.close();
            return;
        }
        byte[] out = JSON.writeValueAsBytes(answer.body());
        x.getResponseHeaders().set("Content-Type", "application/json");
        try {
            x.sendResponseHeaders(answer.status(), out.length);
            x.getResponseBody().write(out);
        } catch (IOException e) {
            // The caller has gone.
        } finally {
            x.close();
        }
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> fields = new HashMap<>();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int eq = part.indexOf('=');
                fields.put(part.substring(0, eq),
                        URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
            }
        }
        return fields;
    }
}
