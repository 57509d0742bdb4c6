package org.chervillift.daemon.tasks;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.tasks.JobRequest;

/** Relays requests that this process cannot serve to other entry VMs. */
@FunctionalInterface
interface Relay {

    /** Relays nothing. */
    Relay NONE = (request, local, arrivedAt) -> CompletableFuture.completedFuture(local);

    /**
     * Returns the answer of another entry VM, or the own answer if none can serve the request.
     *
     * @param local the answer of this process
     * @param arrivedAt when the request arrived, in milliseconds
     */
    CompletionStage<AnswerWithBasis> relayIfNeeded(
            JobRequest request, AnswerWithBasis local, long arrivedAt);
}
