package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.chervillift.api.Checks;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Runs the steps and callbacks of what must go on, so that a failure of one does not end it. (A
 * {@link org.chervillift.runtime.supervision.Supervisor} restarts whole parts of a process that say
 * that they have failed.)
 *
 * <p>Each failure is counted and logged with the name of its loop; one that comes back at each step
 * is logged once a second. A fault of the virtual machine is passed on to the event loop, which
 * ends the process. Not thread-safe.
 */
final class Supervision {

    private static final long LOG_INTERVAL_MILLIS = 1_000;

    private final Scheduler scheduler;
    private final TaskMetrics metrics;
    private final Map<String, Long> lastLoggedAt = new HashMap<>();

    Supervision(Scheduler scheduler, TaskMetrics metrics) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.metrics = Checks.notNull("metrics", metrics);
    }

    Scheduler scheduler() {
        return scheduler;
    }

    /** Runs a step; returns whether it ended without a failure. */
    boolean run(String loop, Runnable step) {
        try {
            step.run();
            return true;
        } catch (RuntimeException | Error e) {
            recordFailure(loop, e);
            return false;
        }
    }

    /** Runs a step now, and again after each interval until stopped, whatever the step does. */
    void repeat(String loop, Duration interval, BooleanSupplier stopped, Runnable step) {
        if (stopped.getAsBoolean()) {
            return;
        }
        run(loop, step);
        scheduler.schedule(interval, () -> repeat(loop, interval, stopped, step));
    }

    /**
     * Passes the result of a call to a callback.
     *
     * @param recover called when the callback fails; it must carry the loop on, and must not rely
     *     on what the callback should have done
     */
    <T> void whenAnswered(
            String loop,
            CompletionStage<T> call,
            BiConsumer<T, Throwable> callback,
            Runnable recover) {
        call.whenComplete(
                (value, fault) -> {
                    if (!run(loop, () -> callback.accept(value, fault))) {
                        run(loop, recover);
                    }
                });
    }

    /** Records that a step, a callback or a call of a loop has thrown. */
    void recordFailure(String loop, Throwable failure) {
        metrics.countLoopFailure(loop);
        long now = scheduler.now().toEpochMilli();
        Long loggedAt = lastLoggedAt.get(loop);
        if (loggedAt == null || now - loggedAt >= LOG_INTERVAL_MILLIS) {
            lastLoggedAt.put(loop, now);
            EventLog.log(TaskEvent.CALLBACK_FAILED, failure, Field.of("loop", loop));
        }
        if (failure instanceof VirtualMachineError machineFault) {
            scheduler.schedule(
                    Duration.ZERO,
                    () -> {
                        throw machineFault;
                    });
        }
    }
}
