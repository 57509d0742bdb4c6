package org.chervillift.daemon.requests;

import io.activej.net.socket.tcp.TcpSocket;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.chervillift.api.ErrorCode;

/**
 * One attempt to send a request, on its own connection.
 *
 * <p>Until the connection is established, no byte has been sent and the request cannot have run.
 * Afterwards it may have run, unless the other side reports that it did not. Confined to one
 * thread.
 */
final class Attempt {

    private final Consumer<SendResult> onResult;
    private TcpSocket socket;
    private boolean expired;
    private boolean mayHaveBeenSent;
    private boolean completed;

    Attempt(Consumer<SendResult> onResult) {
        this.onResult = onResult;
    }

    /** Records that the connection is established; no byte has been written yet. */
    void connected(TcpSocket connectedSocket) {
        if (expired) {
            connectedSocket.closeEx(
                    new TimeoutException(
                            "The attempt timed out before the connection was established."));
            return;
        }
        socket = connectedSocket;
        mayHaveBeenSent = true;
    }

    /** Ends the attempt on timeout; the connection is closed and not reused. */
    void expire() {
        expired = true;
        if (socket != null && !completed) {
            complete(new SendResult.MayHaveRun(ErrorCode.UPSTREAM_TIMEOUT));
            socket.closeEx(new TimeoutException("No complete response was received in time."));
        }
    }

    void fail() {
        if (mayHaveBeenSent) {
            complete(new SendResult.MayHaveRun(ErrorCode.UPSTREAM_FAILED));
        } else {
            complete(new SendResult.NotRun(SendResult.Reason.UNREACHABLE, ErrorCode.NO_UPSTREAM));
        }
    }

    void complete(SendResult result) {
        if (!completed) {
            completed = true;
            onResult.accept(result);
        }
    }
}
