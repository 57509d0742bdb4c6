package org.chervillift.http;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.function.Consumer;
import org.chervillift.api.ChervilliftException;

/** Creates event loops. */
public final class Reactors {

    private static final int EXIT_CODE_MACHINE_FAULT = 70;

    /** Shorter than the most that counts of the time, so that idle time counts whole. */
    private static final Duration IDLE_INTERVAL = Duration.ofMillis(50);

    private Reactors() {}

    /**
     * Creates an event loop that goes on after a fault in one of its tasks. Its timers follow the
     * monotonic clock, without the time for which the loop was held up.
     *
     * @param onFault told of each fault, but for a {@link ChervilliftException}, which is an
     *     expected outcome and travels in the promise
     */
    public static Eventloop create(String name, Consumer<Throwable> onFault) {
        return create(name, onFault, MonotonicTime.startingNow());
    }

    static Eventloop create(String name, Consumer<Throwable> onFault, CurrentTimeProvider time) {
        return Eventloop.builder()
                .withThreadName(name)
                .withTimeProvider(time)
                .withIdleInterval(IDLE_INTERVAL)
                .withFatalErrorHandler((fault, context) -> handle(fault, onFault))
                .build();
    }

    private static void handle(Throwable fault, Consumer<Throwable> onFault) {
        if (fault instanceof ChervilliftException) {
            return;
        }
        onFault.accept(fault);
        if (fault instanceof VirtualMachineError) {
            Runtime.getRuntime().halt(EXIT_CODE_MACHINE_FAULT);
        }
    }
}
