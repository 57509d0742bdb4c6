package org.chervillift.daemon.requests;

import java.time.Instant;
import java.util.function.Consumer;
import org.chervillift.core.routing.Choice;

/** Sends a request once. */
@FunctionalInterface
public interface Sender {

    /**
     * Sends a request once and tells the result once.
     *
     * @param target an upstream or another entry VM
     * @param request what to send
     * @param freshConnection whether no connection may be used that was used before
     * @param until when the attempt is lost if no whole answer has come
     * @param onResult told the result
     */
    void send(
            Choice target,
            OutgoingRequest request,
            boolean freshConnection,
            Instant until,
            Consumer<SendResult> onResult);
}
