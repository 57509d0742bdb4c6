package org.chervillift.daemon.requests;

import java.util.List;
import org.chervillift.api.Checks;

/** A whole answer of an upstream. Immutable as long as nobody writes to the body. */
public final class Reply {

    private static final int FIRST_SERVER_FAILURE = 500;

    private final int status;
    private final List<Header> headers;
    private final byte[] body;

    /**
     * Creates an answer; the array is not copied.
     *
     * @param status the HTTP status
     * @param headers the headers that go on to the caller
     * @param body the whole body
     */
    public Reply(int status, List<Header> headers, byte[] body) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = Checks.notNull("body", body);
    }

    /** Returns the HTTP status. */
    public int status() {
        return status;
    }

    /** Returns the headers that go on to the caller. */
    public List<Header> headers() {
        return headers;
    }

    /** Returns the body, which must not be written to. */
    public byte[] body() {
        return body;
    }

    /** Returns whether the server failed. */
    public boolean isServerFailure() {
        return status >= FIRST_SERVER_FAILURE;
    }
}
