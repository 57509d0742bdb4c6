package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.function.Consumer;

/**
 * Finds runs that stand still, so that their tasks start elsewhere.
 *
 * <p>Answers workers that take tasks and report in time but do no work: the percentage of a run
 * that works grows within any short while, however slow the worker is.
 */
final class StalledRunDetector {

    private static final long STALL_TIMEOUT_MILLIS = 1_000;
    private static final long WORKER_BACK_OFF_MILLIS = 3_000;

    private final Consumer<SchedulerEvent> events;

    StalledRunDetector(Consumer<SchedulerEvent> notes) {
        this.events = notes;
    }

    void check(Collection<WorkerRecord> workers, long now) {
        for (WorkerRecord worker : workers) {
            if (worker.isReachable()) {
                worker.runs().forEach(r -> check(worker, r, now));
            }
        }
    }

    private void check(WorkerRecord worker, Run run, long now) {
        boolean watched =
                run.phase() == Run.Phase.RUNNING
                        && !run.task().step().spec().longRunning()
                        && !run.task().step().spec().gang()
                        && run.pacePercent() > 0;
        // Only what the worker has reported since counts as time without progress.
        long still = run.lastListedAt() - run.lastProgressAt();
        if (watched && still >= STALL_TIMEOUT_MILLIS) {
            events.accept(
                    SchedulerEvent.of(
                            SchedulerEvent.Kind.STANDSTILL,
                            run,
                            "percent=" + run.progressPercent() + " stillMs=" + still));
            worker.backOff(now, WORKER_BACK_OFF_MILLIS);
            run.enterPhase(Run.Phase.STOPPING, now);
        }
    }
}
