package org.chervillift.core.tasks;

import java.util.List;
import java.util.function.Consumer;

/**
 * Closes the runs of lost workers, and records which tasks were running on a worker that crashed.
 */
final class WorkerLossHandler {

    private final RunRegistry runs;
    private final JobLifecycle lifecycle;
    private final Consumer<SchedulerEvent> events;

    WorkerLossHandler(RunRegistry runs, JobLifecycle lifecycle, Consumer<SchedulerEvent> events) {
        this.runs = runs;
        this.lifecycle = lifecycle;
        this.events = events;
    }

    /** Logs the end of a worker's lifetime, and closes the runs that it had. */
    void lifetimeEndedWithRuns(WorkerRecord worker, long now) {
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.LIFETIME,
                        "",
                        "",
                        worker.id(),
                        "lifetime ended, runs=" + worker.runs().size()));
        lifetimeEnded(worker, now);
    }

    /** Closes all runs of a worker whose lifetime has ended: none of them can still exist. */
    void lifetimeEnded(WorkerRecord worker, long now) {
        closeRuns(worker, worker.isEndExpected() ? LossCause.PLANNED : LossCause.CRASH, now);
    }

    /** Closes all runs of a worker whose lease has expired: it has ended them itself. */
    void leaseExpired(WorkerRecord worker, long now) {
        closeRuns(worker, LossCause.LEASE_EXPIRED, now);
    }

    private void closeRuns(WorkerRecord worker, LossCause cause, long now) {
        List<Run> lost = worker.runsCopy();
        for (Run run : lost) {
            runs.close(run);
            if (cause == LossCause.CRASH) {
                recordCrash(run, lost.size() == 1, now);
            }
            events.accept(
                    SchedulerEvent.of(
                            SchedulerEvent.Kind.LOST, run, inputs(run, cause, lost.size(), now)));
        }
    }

    private void recordCrash(Run run, boolean alone, long now) {
        if (run.hasBegun()) {
            lifecycle.workerCrashed(run.task(), run.number(), alone, now);
        } else {
            lifecycle.workerCrashedUnconfirmed(run.task(), run.number(), now);
        }
    }

    private static String inputs(Run run, LossCause cause, int runsLost, long now) {
        return "cause="
                + cause
                + " runsOnWorker="
                + runsLost
                + " begun="
                + run.hasBegun()
                + " ageMillis="
                + (now - run.openedAt())
                + " crashes="
                + run.task().crashes().count()
                + " unconfirmed="
                + run.task().crashes().unconfirmedCount()
                + " jobState="
                + run.task().step().job().state();
    }
}
