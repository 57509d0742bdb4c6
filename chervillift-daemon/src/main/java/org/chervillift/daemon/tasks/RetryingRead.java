package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chervillift.runtime.supervision.Scheduler;

/** Retries a read that a component needs before it can start, until the store responds. */
final class RetryingRead {

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private RetryingRead() {}

    /**
     * Calls the store, and again after a delay while the call fails.
     *
     * @param stopped returns whether the component has been stopped, which ends the retries
     * @param read makes the call
     * @param then receives the value, once
     */
    static <T> void start(
            Scheduler scheduler,
            BooleanSupplier stopped,
            Supplier<CompletionStage<T>> read,
            Consumer<T> then) {
        if (stopped.getAsBoolean()) {
            return;
        }
        read.get()
                .whenComplete(
                        (value, fault) -> {
                            if (stopped.getAsBoolean()) {
                                return;
                            }
                            if (fault == null) {
                                then.accept(value);
                            } else {
                                scheduler.schedule(
                                        RETRY_DELAY, () -> start(scheduler, stopped, read, then));
                            }
                        });
    }
}
