package org.chervillift.http;

import io.activej.common.MemSize;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.runtime.settings.HostPort;

/** Sends JSON over HTTP to one server, with bounds on time and size. */
public final class JsonClient {

    private static final MemSize MOST_BODY = MemSize.megabytes(16);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);

    private final HttpClient client;
    private final String base;
    private final Optional<String> bearer;

    /**
     * Creates a client.
     *
     * @param timeout the bound on the wait for an answer
     * @param bearer the credential that each request carries, if any
     */
    public JsonClient(
            NioReactor reactor, HostPort server, Duration timeout, Optional<String> bearer) {
        Checks.notNull("reactor", reactor);
        this.base = "http://" + server;
        this.bearer = Checks.notNull("bearer", bearer);
        this.client =
                HttpClient.builder(reactor, new IpNumberResolver())
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withReadWriteTimeout(timeout)
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .withMaxBodySize(MOST_BODY)
                        .build();
    }

    /** Sends a request without a body. */
    public Promise<HttpAnswer> send(HttpMethod method, String path) {
        return send(method, path, Optional.empty());
    }

    /** Sends a request; fails when the whole answer has not come in time. */
    public Promise<HttpAnswer> send(HttpMethod method, String path, Optional<String> body) {
        byte[] bytes = body.map(b -> b.getBytes(StandardCharsets.UTF_8)).orElse(new byte[0]);
        return send(method, path, bytes);
    }

    /** Sends a request with bytes; fails when the whole answer has not come in time. */
    public Promise<HttpAnswer> send(HttpMethod method, String path, byte[] body) {
        HttpRequest.Builder request = HttpRequest.builder(method, base + path);
        bearer.ifPresent(b -> request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + b));
        if (body.length > 0) {
            request.withBody(body);
        }
        return client.request(request.build()).then(JsonClient::load);
    }

    /**
     * Reads a path unless it is still as it was.
     *
     * @param tag the entity tag of what is known, if anything is
     * @return the answer; its status is 304 when nothing has changed
     */
    public Promise<TaggedAnswer> get(String path, Optional<String> tag) {
        HttpRequest.Builder request = HttpRequest.get(base + path);
        bearer.ifPresent(b -> request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + b));
        tag.ifPresent(t -> request.withHeader(HttpHeaders.IF_NONE_MATCH, t));
        return client.request(request.build())
                .then(
                        r -> {
                            Optional<String> newTag =
                                    Optional.ofNullable(r.getHeader(HttpHeaders.ETAG));
                            return load(r).map(a -> new TaggedAnswer(a, newTag));
                        });
    }

    /** Closes all connections. */
    public Promise<?> stop() {
        return client.stop();
    }

    private static Promise<HttpAnswer> load(HttpResponse response) {
        return response.loadBody(MOST_BODY)
                .map(
                        body ->
                                new HttpAnswer(
                                        response.getCode(),
                                        body.getString(StandardCharsets.UTF_8)));
    }
}
