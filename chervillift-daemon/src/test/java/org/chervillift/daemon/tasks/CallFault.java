package org.chervillift.daemon.tasks;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/** How a call to the platform can break what its interface promises. */
enum CallFault {
    /** The stage is never completed. */
    NO_ANSWER,
    /** The stage is completed with null, so that the callback throws. */
    NULL_ANSWER,
    /** There is no stage. */
    NULL_STAGE,
    /** The call throws instead of returning a stage that fails. */
    THROWS;

    <T> CompletionStage<T> apply() {
        return switch (this) {
            case NO_ANSWER -> new CompletableFuture<>();
            case NULL_ANSWER -> CompletableFuture.completedFuture(null);
            case NULL_STAGE -> null;
            case THROWS -> throw new IllegalStateException("injected");
        };
    }
}
