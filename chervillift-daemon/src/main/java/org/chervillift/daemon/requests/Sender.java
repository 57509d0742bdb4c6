package org.chervillift.daemon.requests;

import java.time.Instant;
import java.util.function.Consumer;
import org.chervillift.core.routing.RoutingDecision;

/** Sends a request once. */
@FunctionalInterface
public interface Sender {

    /**
     * Sends a request once and reports the result once.
     *
     * @param target an upstream or another entry VM
     * @param request what to send
     * @param freshConnection whether a previously used connection must not be reused
     * @param deadline when the attempt fails unless a complete response has arrived
     * @param onResult receives the result
     */
    void send(
            RoutingDecision target,
            OutgoingRequest request,
            boolean freshConnection,
            Instant deadline,
            Consumer<SendResult> onResult);
}
