package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorThread;
import org.chervillift.runtime.settings.HostPort;

/** Asks a daemon on the operator's behalf. */
public final class OperatorClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final ReactorThread thread;
    private final JsonClient client;
    private final Progress progress;

    /** Creates a client of one daemon. */
    public OperatorClient(
            ReactorThread thread, HostPort server, String credential, Progress progress) {
        this.progress = Checks.notNull("progress", progress);
        this.thread = Checks.notNull("thread", thread);
        this.client = new JsonClient(thread.reactor(), server, TIMEOUT, Optional.of(credential));
    }

    /** Returns where long commands show how they get on. */
    public Progress progress() {
        return progress;
    }

    /**
     * Sends a change that may be sent twice, and sends it once more when no answer came.
     *
     * @throws ChervilliftException if no answer came at all
     */
    public HttpAnswer sendChange(HttpMethod method, String path, byte[] body) {
        try {
            return send(method, path, body);
        } catch (ChervilliftException e) {
            progress.show("No answer came. The same change is sent once more.");
            return send(method, path, body);
        }
    }

    /** Sends a request without a body. */
    public HttpAnswer send(HttpMethod method, String path) {
        return thread.await(() -> client.send(method, path));
    }

    /** Sends a request with a text. */
    public HttpAnswer send(HttpMethod method, String path, String body) {
        return thread.await(() -> client.send(method, path, Optional.of(body)));
    }

    /** Sends a request with bytes as they are. */
    public HttpAnswer send(HttpMethod method, String path, byte[] body) {
        return thread.await(() -> client.send(method, path, body));
    }
}
