package org.chervillift.daemon.requests;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/** A request to send to an upstream or to another entry VM. */
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
     * @param path the path and query after the queue, starting with a slash
     * @param headers the caller's headers that are forwarded to the upstream
     * @param team the team that the request runs for
     * @param identifier the request identifier, if the caller sent one
     * @param authorization the caller's credential, sent to entry VMs only; blank if absent
     * @param body the complete body
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

    /** Returns the path and query after the queue. */
    public String path() {
        return path;
    }

    /** Returns the headers that are forwarded to the upstream. */
    public List<Header> headers() {
        return headers;
    }

    /** Returns the team that the request runs for. */
    public String team() {
        return team;
    }

    /** Returns the request identifier, if the caller sent one. */
    public Optional<String> identifier() {
        return identifier;
    }

    /** Returns the caller's credential, blank if absent. */
    public String authorization() {
        return authorization;
    }

    /** Returns the body, which must not be modified. */
    public byte[] body() {
        return body;
    }
}
