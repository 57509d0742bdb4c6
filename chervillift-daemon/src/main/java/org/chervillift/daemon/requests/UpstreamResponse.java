package org.chervillift.daemon.requests;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;
import org.chervillift.api.Checks;

/** A whole answer of an upstream, until its body is released. */
public final class UpstreamResponse {

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final int status;
    private final List<Header> headers;
    private final byte[] body;
    private Runnable onRelease;

    /**
     * Creates an answer; the array is not copied.
     *
     * @param status the HTTP status
     * @param headers the headers that go on to the caller
     * @param body the whole body
     */
    public UpstreamResponse(int status, List<Header> headers, byte[] body) {
        this(status, headers, body, () -> {});
    }

    /**
     * Creates an answer whose bytes are counted; the array is not copied.
     *
     * @param status the HTTP status
     * @param headers the headers that go on to the caller
     * @param body the whole body
     * @param onRelease run once when the body is no longer kept
     */
    public UpstreamResponse(int status, List<Header> headers, byte[] body, Runnable onRelease) {
        this.status = status;
        this.headers = List.copyOf(headers);
        this.body = Checks.notNull("body", body);
        this.onRelease = Checks.notNull("onRelease", onRelease);
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

    /** Returns the body as a stream that releases it when it is written or will never be. */
    public ChannelSupplier<ByteBuf> bodyStream() {
        return new ReleasingBodySupplier(this);
    }

    /** Says that the body is no longer kept; only the first call counts. */
    public void release() {
        Runnable once = onRelease;
        onRelease = () -> {};
        once.run();
    }

    /** Returns whether the server failed. */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }
}
