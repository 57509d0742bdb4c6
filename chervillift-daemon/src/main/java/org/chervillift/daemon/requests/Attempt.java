package org.chervillift.daemon.requests;

import io.activej.net.socket.tcp.TcpSocket;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.chervillift.api.ErrorCode;

/**
 * One attempt on a connection of its own.
 *
 * <p>Until the connection is made, nothing has left and the request cannot have run. Afterwards it
 * may have run, unless the other side says that it did not. Confined to one thread.
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

    /** Takes in that the connection is made; no byte has been written yet. */
    void connected(TcpSocket made) {
        if (expired) {
            made.closeEx(new TimeoutException("The time was over before the connection was made."));
            return;
        }
        socket = made;
        mayHaveBeenSent = true;
    }

    /** Ends the attempt for want of time; the connection is closed and never used again. */
    void expire() {
        expired = true;
        if (socket != null && !completed) {
            complete(new SendResult.MayHaveRun(ErrorCode.UPSTREAM_TIMEOUT));
            socket.closeEx(new TimeoutException("No whole answer came in time."));
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
