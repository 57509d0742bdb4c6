import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A requester of one tenant. */
final class Client {

    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(Duration.ofSeconds(1)).build();

    /** An answer; status 0 means that none came. */
    record Answer(int status, JsonNode body) {
        String state() {
            return body == null ? "" : body.path("state").asText("");
        }
    }

    final String key;

    Client(String key) {
        this.key = key;
    }

    static int status(String address, String path) {
        try {
            return HTTP.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofSeconds(1)).build(),
                    HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (Exception e) {
            return 0;
        }
    }

    Answer call(String method, Daemon node, String path, String body) {
        return call(method, node.front, node.name, path, body, true);
    }

    Answer call(String method, String front, String name, String path, String body, boolean record) {
        Answer answer;
        try {
            HttpRequest.Builder request =
                    HttpRequest.newBuilder(URI.create("http://" + front + path))
                            .timeout(Duration.ofMillis(3_000))
                            .header("Content-Type", "application/json")
                            .header("Authorization", "Bearer " + key)
                            .header("Chervillift-Deadline-Ms", "3000")
                            .method(method, body.isEmpty()
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofString(body));
            HttpResponse<String> r = HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
            answer = new Answer(r.statusCode(), r.body().isEmpty() ? null : Http.JSON.readTree(r.body()));
        } catch (Exception e) {
            answer = new Answer(0, null);
        }
        if (record) {
            Record.line("CALL " + method + " " + name + " " + path + " -> " + answer.status()
                    + (answer.body() == null ? "" : " " + answer.body()));
        }
        return answer;
    }

    /** Hands a job in; asks again after no answer, 502, 503 or 504, as requesters do. */
    boolean submit(Daemon node, String path, String body, int tries) {
        for (int i = 0; i < tries; i++) {
            int status = call("POST", node, path, body).status();
            if (status >= 200 && status < 300) {
                return true;
            }
            Fleet.sleep(300);
        }
        return false;
    }
}
