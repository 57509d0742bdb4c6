package org.chervillift.http;

import io.activej.common.time.CurrentTimeProvider;
import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.function.Consumer;
import org.chervillift.api.ChervilliftException;

/** Creates event loops. */
public final class Reactors {

    private static final int EXIT_CODE_MACHINE_FAULT = 70;

    /**
     * Shorter than the most that counts of the time, so that the time of an idle loop counts whole.
     */
    private static final Duration TIME_READING_INTERVAL = Duration.ofMillis(40);

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
        Eventloop loop =
                Eventloop.builder()
                        .withThreadName(name)
                        .withTimeProvider(time)
                        .withFatalErrorHandler((fault, context) -> handle(fault, onFault))
                        .build();
        loop.execute(() -> readTimeOften(loop));
        return loop;
    }

    /** Wakes the event loop so often that it reads the time; this does not keep it running. */
    private static void readTimeOften(Eventloop loop) {
        loop.scheduleBackground(
                ScheduledRunnable.of(
                        loop.currentTimeMillis() + TIME_READING_INTERVAL.toMillis(),
                        () -> readTimeOften(loop)));
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
