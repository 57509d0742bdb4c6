package org.chervillift.standin.tasks;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.runtime.supervision.Scheduler;

/** Completes calls after a delay. */
final class Later {

    private final Scheduler scheduler;

    Later(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Makes a value after a delay; the stage fails as the making does. */
    <T> CompletionStage<T> complete(Duration delay, Supplier<T> value) {
        CompletableFuture<T> future = new CompletableFuture<>();
        scheduler.schedule(
                delay,
                () -> {
                    try {
                        future.complete(value.get());
                    } catch (RuntimeException e) {
                        future.completeExceptionally(e);
                    }
                });
        return future;
    }
}
