package org.chervillift.core.tasks;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

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

    /**
     * Logs the end of a worker's lifetime, and closes the runs that it had.
     *
     * @param evidenceFrom from when the evidence may be, in milliseconds; a run stays open if its
     *     order to start was sent later and no report has listed it
     */
    void lifetimeEndedWithRuns(WorkerRecord worker, long evidenceFrom, long now) {
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.LIFETIME,
                        "",
                        "",
                        worker.id(),
                        "lifetime ended, runs=" + worker.runs().size()));
        closeRuns(
                worker,
                r -> r.isListed() || r.startSentAt() <= evidenceFrom,
                endCauseOf(worker),
                now);
    }

    /**
     * Closes the runs of the former lifetime of a worker that has restarted.
     *
     * <p>An order to start that no report has shown may have reached either lifetime. Its run stays
     * open until a report of the new one tells.
     */
    void lifetimeReplaced(WorkerRecord worker, long now) {
        LossCause cause = endCauseOf(worker);
        List<Run> open = worker.runsCopy();
        closeRuns(worker, r -> r.isListed() || r.isStartHeld(), cause, now);
        if (cause == LossCause.CRASH) {
            worker.runs().forEach(r -> r.markInDoubt(crashOf(r, open, now)));
        }
    }

    /** Closes a run that its worker has not, or no longer. */
    void closeVanished(Run run, long now) {
        runs.close(run);
        run.crashDoubt().ifPresent(d -> recordCrash(run, d, now));
    }

    private static LossCause endCauseOf(WorkerRecord worker) {
        return worker.isEndExpected() ? LossCause.PLANNED : LossCause.CRASH;
    }

    /** Closes all runs of a worker whose lease has expired: it has ended them itself. */
    void leaseExpired(WorkerRecord worker, long now) {
        closeRuns(worker, r -> true, LossCause.LEASE_EXPIRED, now);
    }

    private void closeRuns(WorkerRecord worker, Predicate<Run> isLost, LossCause cause, long now) {
        List<Run> open = worker.runsCopy();
        for (Run run : open.stream().filter(isLost).toList()) {
            runs.close(run);
            if (cause == LossCause.CRASH) {
                recordCrash(run, crashOf(run, open, now), now);
            } else {
                run.crashDoubt().ifPresent(d -> recordCrash(run, d, now));
            }
            if (cause == LossCause.LEASE_EXPIRED) {
                run.task().crashes().recordUnexplainedLoss(run.number());
            }
            events.accept(
                    SchedulerEvent.of(
                            SchedulerEvent.Kind.LOST, run, inputs(run, cause, open.size(), now)));
        }
    }

    private static Run.Crash crashOf(Run run, List<Run> open, long now) {
        return new Run.Crash(isAlone(run, open, now), 1.0 / open.size());
    }

    /**
     * Returns whether no other run on a worker may have caused its crash.
     *
     * <p>Beside a long-running run, others of its kind that have run for long do not come into
     * question: a pool may have no worker without them.
     */
    private static boolean isAlone(Run run, List<Run> open, long now) {
        boolean longRunning = run.task().step().spec().longRunning();
        return open.stream()
                .filter(other -> other != run)
                .allMatch(other -> longRunning && isProvenHarmless(other, now));
    }

    private static boolean isProvenHarmless(Run run, long now) {
        return run.task().step().spec().longRunning()
                && run.isListed()
                && now - run.openedAt() >= CrashHistory.PROBATION_MILLIS;
    }

    /**
     * Counts a crash under a run.
     *
     * <p>A run that its worker has not confirmed may have crashed it, unless its order was never
     * sent. If the worker had shown just before that it was alive, the crash is taken to be under
     * the run; else the worker may have been gone when the order came.
     */
    private void recordCrash(Run run, Run.Crash crash, long now) {
        if (run.isStartHeld()) {
            return;
        }
        run.task().crashes().recordVm(run.worker().entry().vm());
        if (run.hasBegun() || run.wasSentToLiveWorker()) {
            lifecycle.workerCrashed(run.task(), run.number(), crash, now);
        } else {
            lifecycle.workerCrashedUnconfirmed(run.task(), run.number(), crash, now);
        }
    }

    private static String inputs(Run run, LossCause cause, int runsLost, long now) {
        return "cause="
                + cause
                + " runsOnWorker="
                + runsLost
                + " begun="
                + run.hasBegun()
                + " sentToLiveWorker="
                + run.wasSentToLiveWorker()
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
