package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.function.Consumer;

/**
 * Detects runs without progress and stops them, so that their tasks start on other workers.
 *
 * <p>A faulty worker may accept tasks and report in time but do no work. Progress is reported in
 * whole percent, so a long run shows none for a while on a healthy worker, too. The timeout
 * therefore grows with the caller's estimate, which may be far too low, and doubles each time that
 * a run of the task is stopped for want of progress.
 */
final class StalledRunDetector {

    private static final long MIN_STALL_TIMEOUT_MILLIS = 1_000;

    /** Runs of up to three hours show progress within this time. */
    private static final long MAX_STALL_TIMEOUT_MILLIS = 120_000;

    /** A run whose caller's estimate is right makes progress four times within the timeout. */
    private static final long TIMEOUTS_PER_ESTIMATE = 25;

    private static final long WORKER_BACK_OFF_MILLIS = 3_000;

    private final Consumer<SchedulerEvent> events;

    StalledRunDetector(Consumer<SchedulerEvent> events) {
        this.events = events;
    }

    void check(Collection<WorkerRecord> workers, long now) {
        for (WorkerRecord worker : workers) {
            if (worker.isReachable()) {
                worker.runs().forEach(r -> check(worker, r, now));
            }
        }
    }

    private static long timeoutMillis(TaskEntry task) {
        long estimated = task.step().spec().estimatedMillis() / TIMEOUTS_PER_ESTIMATE;
        long timeout = Math.max(MIN_STALL_TIMEOUT_MILLIS, estimated);
        for (int i = 0; i < task.stallCount() && timeout < MAX_STALL_TIMEOUT_MILLIS; i++) {
            timeout *= 2;
        }
        return Math.min(MAX_STALL_TIMEOUT_MILLIS, timeout);
    }

    private void check(WorkerRecord worker, Run run, long now) {
        boolean canStall =
                run.phase() == Run.Phase.RUNNING
                        && !run.task().step().spec().longRunning()
                        && !run.task().step().spec().gang()
                        && run.pacePercent() > 0;
        long stalledMillis = run.stalledMillis();
        if (canStall && stalledMillis >= timeoutMillis(run.task())) {
            run.task().recordStall();
            events.accept(
                    SchedulerEvent.of(
                            SchedulerEvent.Kind.STANDSTILL,
                            run,
                            "percent=" + run.progressPercent() + " stillMs=" + stalledMillis));
            worker.presumeFaulty(now, WORKER_BACK_OFF_MILLIS);
            run.enterPhase(Run.Phase.STOPPING, now);
        }
    }
}
