package org.chervillift.daemon.requests;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import java.util.List;
import org.chervillift.api.Checks;

/** A complete response of an upstream, whose body is held until it is released. */
public final class UpstreamResponse {

    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final int status;
    private final List<Header> headers;
    private final byte[] body;
    private Runnable onRelease;

    /**
     * Creates a response; the array is not copied.
     *
     * @param status the HTTP status
     * @param headers the headers that are forwarded to the caller
     * @param body the complete body
     */
    public UpstreamResponse(int status, List<Header> headers, byte[] body) {
        this(status, headers, body, () -> {});
    }

    /**
     * Creates a response that holds reserved memory; the array is not copied.
     *
     * @param status the HTTP status
     * @param headers the headers that are forwarded to the caller
     * @param body the complete body
     * @param onRelease runs once when the body is no longer needed
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

    /** Returns the headers that are forwarded to the caller. */
    public List<Header> headers() {
        return headers;
    }

    /** Returns the body, which must not be modified. */
    public byte[] body() {
        return body;
    }

    /** Returns the body as a stream that releases it once it is written or the stream closes. */
    public ChannelSupplier<ByteBuf> bodyStream() {
        return new ReleasingBodySupplier(this);
    }

    /** Releases the body; only the first call has an effect. */
    public void release() {
        Runnable once = onRelease;
        onRelease = () -> {};
        once.run();
    }

    /** Returns whether the status is a server error. */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }
}
