package org.chervillift.http;

import io.activej.common.MemSize;
import io.activej.http.HttpClient;
import io.activej.http.HttpException;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.runtime.settings.HostPort;

/**
 * Sends JSON over HTTP to one server, with bounds on time and size.
 *
 * <p>A connection is closed with a reset. The operating system then discards the bytes of a request
 * that were not delivered, so that a request that has timed out does not reach the server later,
 * for example when a network partition ends.
 */
public final class JsonClient {

    private static final MemSize MOST_BODY = MemSize.megabytes(16);
    private static final int FIRST_FINAL_STATUS = 200;

    /** The HTTP client looks for overdue calls once in this time, so they may last that longer. */
    private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofSeconds(1);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(5);
    private static final SocketSettings RESET_ON_CLOSE =
            SocketSettings.builder().withLingerTimeout(Duration.ZERO).build();

    private final NioReactor reactor;
    private final Duration timeout;
    private final Duration keepAlive;
    private final String base;
    private final Optional<String> bearer;
    private HttpClient client;

    /**
     * Creates a client.
     *
     * @param timeout the bound on the wait for the whole answer; enforced up to a second late
     * @param bearer the credential that each request carries, if any
     */
    public JsonClient(
            NioReactor reactor, HostPort server, Duration timeout, Optional<String> bearer) {
        this(reactor, server, timeout, KEEP_ALIVE, bearer);
    }

    /**
     * Creates a client.
     *
     * @param timeout the bound on the wait for the whole answer; enforced up to a second late
     * @param keepAlive how long an idle connection is kept
     * @param bearer the credential that each request carries, if any
     */
    public JsonClient(
            NioReactor reactor,
            HostPort server,
            Duration timeout,
            Duration keepAlive,
            Optional<String> bearer) {
        this.reactor = Checks.notNull("reactor", reactor);
        this.timeout = Checks.notNull("timeout", timeout);
        this.keepAlive = Checks.notNull("keepAlive", keepAlive);
        this.base = "http://" + server;
        this.bearer = Checks.notNull("bearer", bearer);
        this.client = open();
    }

    private HttpClient open() {
        return HttpClient.builder(reactor, new IpNumberResolver())
                .withSocketSettings(RESET_ON_CLOSE)
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withReadWriteTimeout(timeout)
                .withKeepAliveTimeout(keepAlive)
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
        return send(method, path, body, Map.of());
    }

    /**
     * Sends a request with bytes and headers; fails when the whole answer has not come in time.
     *
     * <p>After a failure the next request opens a connection of its own, since the idle ones may
     * have gone silent as well.
     */
    public Promise<HttpAnswer> send(
            HttpMethod method, String path, byte[] body, Map<String, String> headers) {
        HttpRequest.Builder request = HttpRequest.builder(method, base + path);
        bearer.ifPresent(b -> request.withHeader(HttpHeaders.AUTHORIZATION, "Bearer " + b));
        headers.forEach((name, value) -> request.withHeader(HttpHeaders.of(name), value));
        if (body.length > 0) {
            request.withBody(body);
        }
        HttpClient used = client;
        return bounded(used.request(request.build()).then(JsonClient::load))
                .whenException(e -> replace(used));
    }

    /** Fails a call whose end the HTTP client does not enforce, as after it was stopped. */
    private <T> Promise<T> bounded(Promise<T> call) {
        return Promises.timeout(reactor, timeout.plus(TIMEOUT_CHECK_INTERVAL), call);
    }

    private void replace(HttpClient failed) {
        if (client == failed) {
            client = open();
            failed.stop();
        }
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
        HttpClient used = client;
        return bounded(used.request(request.build()).then(JsonClient::loadTagged))
                .whenException(e -> replace(used));
    }

    /** Closes all connections. */
    public Promise<?> stop() {
        return client.stop();
    }

    private static Promise<TaggedAnswer> loadTagged(HttpResponse response) {
        Optional<String> tag = Optional.ofNullable(response.getHeader(HttpHeaders.ETAG));
        return load(response).map(a -> new TaggedAnswer(a, tag));
    }

    /**
     * Loads the body; fails for an interim answer, which the HTTP client takes for the answer. The
     * connection must not be used again then, since the answer proper follows on it.
     */
    private static Promise<HttpAnswer> load(HttpResponse response) {
        if (response.getCode() < FIRST_FINAL_STATUS) {
            return Promise.ofException(
                    new HttpException("The server sent an interim answer: " + response.getCode()));
        }
        return response.loadBody(MOST_BODY)
                .map(
                        body ->
                                new HttpAnswer(
                                        response.getCode(),
                                        body.getString(StandardCharsets.UTF_8)));
    }
}
