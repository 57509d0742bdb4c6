package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Retries a read that a component needs before it can start, until the store responds. */
final class RetryingRead {

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private RetryingRead() {}

    /**
     * Calls the store, and again after a delay while the call fails or its value cannot be used.
     *
     * @param stopped returns whether the component has been stopped, which ends the retries
     * @param read makes the call
     * @param then receives the value, and once more if it throws
     */
    static <T> void start(
            Supervision supervision,
            BooleanSupplier stopped,
            Supplier<CompletionStage<T>> read,
            Consumer<T> then) {
        if (stopped.getAsBoolean()) {
            return;
        }
        Runnable retry =
                () ->
                        supervision
                                .scheduler()
                                .schedule(
                                        RETRY_DELAY, () -> start(supervision, stopped, read, then));
        supervision.whenAnswered(
                "read",
                read.get(),
                (value, fault) -> {
                    if (stopped.getAsBoolean()) {
                        return;
                    }
                    if (fault == null) {
                        then.accept(value);
                    } else {
                        retry.run();
                    }
                },
                retry);
    }
}
