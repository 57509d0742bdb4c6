package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.function.Consumer;

/**
 * Detects runs without progress and stops them, so that their tasks start on other workers.
 *
 * <p>A faulty worker may accept tasks and report in time but do no work. On a healthy worker,
 * however slow, the progress percentage of a run increases within {@link #STALL_TIMEOUT_MILLIS}.
 */
final class StalledRunDetector {

    private static final long STALL_TIMEOUT_MILLIS = 1_000;
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

    private void check(WorkerRecord worker, Run run, long now) {
        boolean canStall =
                run.phase() == Run.Phase.RUNNING
                        && !run.task().step().spec().longRunning()
                        && !run.task().step().spec().gang()
                        && run.pacePercent() > 0;
        // Measured up to the last report: time without reports does not count as time without
        // progress.
        long stalledMillis = run.lastListedAt() - run.lastProgressAt();
        if (canStall && stalledMillis >= STALL_TIMEOUT_MILLIS) {
            events.accept(
                    SchedulerEvent.of(
                            SchedulerEvent.Kind.STANDSTILL,
                            run,
                            "percent=" + run.progressPercent() + " stillMs=" + stalledMillis));
            worker.backOff(now, WORKER_BACK_OFF_MILLIS);
            run.enterPhase(Run.Phase.STOPPING, now);
        }
    }
}
