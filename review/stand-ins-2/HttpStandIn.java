import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.function.Function;

/** An HTTP server on a loopback address that can be shut and opened again on the same port. */
final class HttpStandIn {

    private final Map<String, Function<Request, Answer>> handlers = new HashMap<>();
    private int port;
    private HttpServer server;

    /** A call. */
    record Request(String path, Map<String, String> params, Map<String, String> headers, String body) {
        String query(String name) {
            return params.getOrDefault(name, "");
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
        }
    }

    /** An answer with a JSON body. */
    record Answer(int status, ObjectNode body) {}

    void on(String path, Function<Request, Answer> handler) {
        handlers.put(path, handler);
    }

    int port() {
        return port;
    }

    void open() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
        port = server.getAddress().getPort();
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", this::handle);
        server.start();
    }

    /** Ends all connections; the port refuses new ones. */
    void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String text = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Map<String, String> headers = new HashMap<>();
            exchange.getRequestHeaders()
                    .forEach((k, v) -> headers.put(k.toLowerCase(java.util.Locale.ROOT), v.get(0)));
            String path = exchange.getRequestURI().getPath();
            Request request =
                    new Request(path, params(exchange.getRequestURI().getRawQuery()), headers, text);
            Function<Request, Answer> handler = handlers.get(path);
            Answer answer =
                    handler == null ? new Answer(404, Json.object()) : handler.apply(request);
            if (answer == null) {
                return;
            }
            byte[] bytes = answer.body().toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (RuntimeException e) {
            e.printStackTrace();
            throw e;
        }
    }

    private static Map<String, String> params(String query) {
        Map<String, String> params = new HashMap<>();
        for (String pair : (query == null ? "" : query).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                params.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return params;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
