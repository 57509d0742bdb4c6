package org.chervillift.daemon.requests;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/** What is sent to an upstream, or to another entry VM. */
public final class OutgoingRequest {

    private final String method;
    private final String queue;
    private final String path;
    private final List<Header> headers;
    private final String team;
    private final Optional<String> identifier;
    private final String authorization;
    private final byte[] body;

    /**
     * Creates a request; the array is not copied.
     *
     * @param method the HTTP method
     * @param queue the queue that the caller named
     * @param path what follows the queue, with its query, starting with a slash
     * @param headers headers of the caller that go on to the upstream
     * @param team the team that it runs for
     * @param identifier the request identifier, if one came
     * @param authorization the caller's credential, for another entry VM only; blank without one
     * @param body the whole body
     */
    public OutgoingRequest(
            String method,
            String queue,
            String path,
            List<Header> headers,
            String team,
            Optional<String> identifier,
            String authorization,
            byte[] body) {
        this.method = Checks.notBlank("method", method);
        this.queue = Checks.notBlank("queue", queue);
        this.path = Checks.notBlank("path", path);
        this.headers = List.copyOf(headers);
        this.team = Checks.notBlank("team", team);
        this.identifier = Checks.notNull("identifier", identifier);
        this.authorization = Checks.notNull("authorization", authorization);
        this.body = Checks.notNull("body", body);
    }

    /** Returns the HTTP method. */
    public String method() {
        return method;
    }

    /** Returns the queue that the caller named. */
    public String queue() {
        return queue;
    }

    /** Returns what follows the queue, with its query. */
    public String path() {
        return path;
    }

    /** Returns the headers that go on to the upstream. */
    public List<Header> headers() {
        return headers;
    }

    /** Returns the team that it runs for. */
    public String team() {
        return team;
    }

    /** Returns the request identifier, if one came. */
    public Optional<String> identifier() {
        return identifier;
    }

    /** Returns the caller's credential, blank without one. */
    public String authorization() {
        return authorization;
    }

    /** Returns the body, which must not be written to. */
    public byte[] body() {
        return body;
    }
}
