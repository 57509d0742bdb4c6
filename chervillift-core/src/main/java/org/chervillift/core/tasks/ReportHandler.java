package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;

/** Applies the reports of workers to the scheduler's state. */
final class ReportHandler {

    private static final long FAILED_SERVICE_DELAY_MILLIS = 200;

    /** A task whose runs end at once for an unknown reason is not started without a pause. */
    private static final long UNKNOWN_END_DELAY_MILLIS = 1_000;

    private static final long UNKNOWN_JOB_TIMEOUT_MILLIS = 5_000;

    /**
     * The most ends that a worker may count beyond one for each millisecond of its clock, which
     * starts anew with its lifetime as the count does.
     */
    private static final long MAX_ENDS_BEYOND_CLOCK = 1_000_000;

    private final JobTable jobs;
    private final RunRegistry runs;
    private final RunNumbers numbers;
    private final JobLifecycle lifecycle;
    private final WorkerLossHandler losses;
    private final Backlog backlog;
    private final RunEndEstimator runEnds;
    private final Consumer<SchedulerEvent> events;

    ReportHandler(
            JobTable jobs,
            RunRegistry runs,
            RunNumbers numbers,
            JobLifecycle lifecycle,
            WorkerLossHandler losses,
            Backlog backlog,
            RunEndEstimator runEnds,
            Consumer<SchedulerEvent> events) {
        this.jobs = jobs;
        this.runs = runs;
        this.numbers = numbers;
        this.lifecycle = lifecycle;
        this.losses = losses;
        this.backlog = backlog;
        this.runEnds = runEnds;
        this.events = events;
    }

    /**
     * Applies a report.
     *
     * <p>A run that is not listed as running may be one whose end is in a later part of the report.
     *
     * @param sentAt when the call was sent that the report answers, in milliseconds
     * @return whether all runs are known that were on the worker when it reported
     */
    boolean apply(WorkerRecord worker, RunReport report, long sentAt, long now) {
        checkLifetime(worker, report, now);
        worker.recordReport(sentAt, report.clockMillis(), now);
        List<EndedRun> unapplied = applyEnds(worker, report, now);
        Set<Run> listed = findRuns(worker, unapplied);
        for (RunningTask running : report.running()) {
            listed.addAll(applyRunning(worker, running, report.clockMillis(), now));
        }
        if (report.moreEnds()) {
            return false;
        }
        for (Run run : worker.runsCopy()) {
            if (!listed.contains(run)) {
                handleUnlisted(run, sentAt, now);
            }
        }
        return unapplied.isEmpty();
    }

    /**
     * Applies the reported ends in their order, up to the first that cannot be applied yet; returns
     * this one and all after it.
     */
    private List<EndedRun> applyEnds(WorkerRecord worker, RunReport report, long now) {
        List<EndedRun> unapplied = new ArrayList<>();
        long highest = Math.max(0, report.clockMillis()) + MAX_ENDS_BEYOND_CLOCK;
        for (EndedRun ended : report.ended()) {
            if (ended.number() < 1 || ended.number() > highest) {
                noteOdd(worker, ended.task(), ended.run(), "number=" + ended.number());
                continue;
            }
            if (ended.number() <= worker.lastAppliedEnd()) {
                continue;
            }
            if (!unapplied.isEmpty() || !tryApplyEnd(worker, ended, now)) {
                unapplied.add(ended);
            }
        }
        return unapplied;
    }

    private Set<Run> findRuns(WorkerRecord worker, List<EndedRun> endedRuns) {
        Set<Run> found = new HashSet<>();
        for (EndedRun ended : endedRuns) {
            findTask(ended.task()).flatMap(t -> t.run(ended.run(), worker)).ifPresent(found::add);
        }
        return found;
    }

    private void checkLifetime(WorkerRecord worker, RunReport report, long now) {
        if (report.bornAtMillis() == 0 || report.bornAtMillis() == worker.bornAtMillis()) {
            return;
        }
        if (worker.bornAtMillis() != 0) {
            startNewLifetime(worker, report.bornAtMillis(), now);
        } else {
            worker.startNewLifetime(report.bornAtMillis(), now);
        }
    }

    /**
     * Closes the runs of a worker that has restarted: nothing of its former lifetime still runs.
     */
    void startNewLifetime(WorkerRecord worker, long bornAtMillis, long now) {
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.LIFETIME,
                        "",
                        "",
                        worker.id(),
                        "born=" + bornAtMillis + " before=" + worker.bornAtMillis()));
        losses.lifetimeReplaced(worker, now);
        worker.startNewLifetime(bornAtMillis, now);
        lifecycle.forgetWorker(worker.id());
    }

    /**
     * Applies the end of a run. Returns false if its job is not known yet and may still become
     * known.
     */
    private boolean tryApplyEnd(WorkerRecord worker, EndedRun ended, long now) {
        boolean jobKnown = jobs.find(ended.task().job()).isPresent();
        if (!jobKnown && !worker.isUnknownJobTimedOut(now, UNKNOWN_JOB_TIMEOUT_MILLIS)) {
            return false;
        }
        worker.markEndApplied(ended.number());
        if (jobKnown) {
            worker.clearUnknownJob();
            applyEndOfKnownJob(worker, ended, now);
        }
        return true;
    }

    private void applyEndOfKnownJob(WorkerRecord worker, EndedRun ended, long now) {
        Optional<TaskEntry> task = findTask(ended.task());
        if (task.isPresent() && isNumberPossible(task.get(), ended.run(), worker)) {
            applyEnd(worker, task.get(), ended, now);
        } else {
            noteOdd(worker, ended.task(), ended.run(), "end=" + ended.end());
        }
    }

    private boolean isNumberPossible(TaskEntry task, int run, WorkerRecord worker) {
        return numbers.mayBeGiven(run) || task.run(run, worker).isPresent();
    }

    /** Logs an entry that names what cannot be, once in a worker's lifetime. */
    private void noteOdd(WorkerRecord worker, TaskId task, int run, String detail) {
        if (worker.noteOddEntry()) {
            events.accept(
                    new SchedulerEvent(
                            SchedulerEvent.Kind.ODD_ENTRY,
                            task.job(),
                            task + "#" + run,
                            worker.id(),
                            detail));
        }
    }

    private void applyEnd(WorkerRecord worker, TaskEntry task, EndedRun ended, long now) {
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.END,
                        ended.task().job(),
                        ended.task() + "#" + ended.run(),
                        worker.id(),
                        "end=" + ended.end() + " number=" + ended.number()));
        Optional<Run> run = task.run(ended.run(), worker);
        if (ended.end() == RunEnd.DONE && task.checkpoint().isEmpty()) {
            run.filter(r -> r.startedAt() > 0).ifPresent(r -> runEnds.recordDone(r, now));
        }
        run.ifPresent(runs::close);
        task.step().job().recordRun(now);
        task.recordRunNumber(ended.run());
        task.updateCheckpoint(ended.checkpoint());
        boolean longRunning = task.step().spec().longRunning();
        if (ended.end() == RunEnd.DONE && !longRunning) {
            worker.recordSuccess();
            if (!task.isDone()) {
                backlog.recordDone(task, worker.pool(), now);
            }
            task.step().job().recordSuccess();
            reportCopy(task, ended);
            lifecycle.taskDone(task, now);
        } else if (ended.end() == RunEnd.FAILED) {
            if (longRunning || task.step().job().recordFailure(worker.id())) {
                worker.recordFailure(run.map(Run::openedAt).orElse(now), now);
            }
            task.failedWorkers().add(worker.id());
            if (longRunning) {
                task.delayUntil(now + FAILED_SERVICE_DELAY_MILLIS);
            } else {
                lifecycle.taskFailed(task, ended.run(), now);
            }
        } else if (ended.end() == RunEnd.UNKNOWN) {
            task.delayUntil(now + UNKNOWN_END_DELAY_MILLIS);
            noteOdd(worker, ended.task(), ended.run(), "end=" + ended.end());
        }
    }

    /**
     * Applies a run that the worker lists as running; returns the open runs that may be it.
     *
     * <p>A number that no holder can have given does not tell which run it is; so none of the task
     * is over on this worker, but for those that the worker has confirmed to be stopped.
     *
     * @param workerClock when the worker made the report, by its own clock, in milliseconds
     */
    private List<Run> applyRunning(
            WorkerRecord worker, RunningTask running, long workerClock, long now) {
        Optional<TaskEntry> known = findTask(running.task());
        if (known.isEmpty()) {
            return List.of();
        }
        if (isNumberPossible(known.get(), running.run(), worker)) {
            return List.of(applyRunning(worker, known.get(), running, workerClock, now));
        }
        noteOdd(worker, running.task(), running.run(), "percent=" + running.percent());
        return known.get().runs().stream()
                .filter(r -> r.worker() == worker && r.phase() != Run.Phase.STOPPING)
                .toList();
    }

    private Run applyRunning(
            WorkerRecord worker, TaskEntry task, RunningTask running, long workerClock, long now) {
        Run run =
                task.run(running.run(), worker).orElseGet(() -> adopt(worker, task, running, now));
        if (run.phase() == Run.Phase.STARTING || run.phase() == Run.Phase.UNCERTAIN) {
            run.enterPhase(Run.Phase.RUNNING, now);
        }
        run.markListed();
        task.step().job().recordRun(now);
        run.updateProgress(running.percent(), workerClock);
        run.gauge(running.gauge());
        if (task.updateCheckpoint(running.checkpoint())) {
            run.markSaved(now);
        }
        if (task.step().spec().longRunning()
                && now - run.openedAt() >= CrashHistory.PROBATION_MILLIS) {
            lifecycle.clearCrashes(task);
        }
        return run;
    }

    private Run adopt(WorkerRecord worker, TaskEntry task, RunningTask running, long now) {
        boolean wanted =
                !task.isDone()
                        && !task.step().job().state().isFinal()
                        && (task.runs().isEmpty() || mayHaveCopy(task));
        Run.Phase phase = wanted ? Run.Phase.RUNNING : Run.Phase.STOPPING;
        Run run = runs.open(task, worker, running.run(), phase, now);
        task.recordRunNumber(running.run());
        task.step().begunPools().add(worker.pool());
        lifecycle.markStarted(task.step().job());
        events.accept(SchedulerEvent.of(SchedulerEvent.Kind.ADOPTED, run, "wanted=" + wanted));
        return run;
    }

    /** Returns whether a second run of a task may go on beside the one that is known. */
    private static boolean mayHaveCopy(TaskEntry task) {
        return task.step().spec().allowDuplicates() && task.runs().size() == 1;
    }

    /** Reports which of two runs was done first. */
    private void reportCopy(TaskEntry task, EndedRun done) {
        task.runs().stream()
                .filter(r -> r.number() != done.run())
                .findFirst()
                .ifPresent(other -> events.accept(copyEvent(other, done)));
    }

    private static SchedulerEvent copyEvent(Run other, EndedRun done) {
        boolean won = other.number() < done.run();
        return SchedulerEvent.of(
                won ? SchedulerEvent.Kind.COPY_WON : SchedulerEvent.Kind.COPY_LOST,
                other,
                "done=" + done.run());
    }

    private void handleUnlisted(Run run, long sentAt, long now) {
        switch (run.phase()) {
            case STARTING -> {
                // The order to start is still in flight.
            }
            case UNCERTAIN -> {
                if (sentAt > run.phaseSince()) {
                    run.enterPhase(Run.Phase.STOPPING, now);
                }
            }
            case RUNNING -> {
                if (sentAt > run.phaseSince()) {
                    closeVanished(run, "not listed", now);
                }
            }
            case STOPPING -> {
                if (run.stopConfirmedBefore(sentAt)) {
                    closeVanished(run, "stopped", now);
                }
            }
            default -> throw new AssertionError(run.phase());
        }
    }

    private void closeVanished(Run run, String reason, long now) {
        events.accept(SchedulerEvent.of(SchedulerEvent.Kind.VANISHED, run, reason));
        losses.closeVanished(run, now);
    }

    private Optional<TaskEntry> findTask(TaskId id) {
        return jobs.find(id.job())
                .filter(j -> j.hasTask(id.occurrence(), id.step(), id.index()))
                .filter(j -> j.mayHaveBegun(id.occurrence()))
                .map(j -> j.step(id.occurrence(), id.step()).tasks().get(id.index()));
    }
}
