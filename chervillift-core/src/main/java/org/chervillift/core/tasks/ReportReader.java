package org.chervillift.core.tasks;

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

/** Takes over what a worker reports. */
final class ReportReader {

    private static final long FAILED_SERVICE_PAUSE_MILLIS = 200;
    private static final long UNKNOWN_JOB_PATIENCE_MILLIS = 5_000;

    private final JobTable jobs;
    private final RunRegistry runs;
    private final JobEnds ends;
    private final RunTimes times;
    private final Consumer<BoardNote> notes;

    ReportReader(
            JobTable jobs,
            RunRegistry runs,
            JobEnds ends,
            RunTimes times,
            Consumer<BoardNote> notes) {
        this.jobs = jobs;
        this.runs = runs;
        this.ends = ends;
        this.times = times;
        this.notes = notes;
    }

    /**
     * Takes over a report.
     *
     * @param sentAt when the call was sent that brought the report
     */
    void read(WorkerRecord worker, RunReport report, long sentAt, long now) {
        checkLifetime(worker, report);
        Set<Run> listed = readEnds(worker, report.ended(), now);
        for (RunningTask running : report.running()) {
            readRunning(worker, running, now).ifPresent(listed::add);
        }
        for (Run run : worker.runsCopy()) {
            if (!listed.contains(run)) {
                readUnlisted(run, sentAt, now);
            }
        }
    }

    /** Reads ends in their order; returns the runs whose ends must wait for an earlier one. */
    private Set<Run> readEnds(WorkerRecord worker, List<EndedRun> ends, long now) {
        Set<Run> waiting = new HashSet<>();
        boolean stuck = false;
        for (EndedRun ended : ends) {
            if (ended.number() <= worker.seenEnd()) {
                continue;
            }
            stuck = stuck || !readEnd(worker, ended, now);
            if (stuck) {
                find(ended.task()).flatMap(t -> t.run(ended.run(), worker)).ifPresent(waiting::add);
            }
        }
        return waiting;
    }

    private void checkLifetime(WorkerRecord worker, RunReport report) {
        if (report.bornAtMillis() == 0 || report.bornAtMillis() == worker.bornAtMillis()) {
            return;
        }
        if (worker.bornAtMillis() != 0) {
            newLifetime(worker, report.bornAtMillis());
        } else {
            worker.newLifetime(report.bornAtMillis());
        }
    }

    /** Notes that a worker began anew, so that nothing of before runs any more. */
    void newLifetime(WorkerRecord worker, long bornAtMillis) {
        notes.accept(
                new BoardNote(
                        BoardNote.Kind.LIFETIME,
                        "",
                        "",
                        worker.id(),
                        "born=" + bornAtMillis + " before=" + worker.bornAtMillis()));
        worker.runsCopy().forEach(runs::close);
        worker.newLifetime(bornAtMillis);
    }

    /** Returns whether the end could be taken note of. */
    private boolean readEnd(WorkerRecord worker, EndedRun ended, long now) {
        Optional<TaskEntry> known = find(ended.task());
        if (known.isEmpty() && !worker.gaveUpOnUnknown(now, UNKNOWN_JOB_PATIENCE_MILLIS)) {
            return false;
        }
        worker.sawEnd(ended.number());
        worker.knownAgain();
        known.ifPresent(t -> applyEnd(worker, t, ended, now));
        return true;
    }

    private void applyEnd(WorkerRecord worker, TaskEntry task, EndedRun ended, long now) {
        notes.accept(
                new BoardNote(
                        BoardNote.Kind.END,
                        ended.task().job(),
                        ended.task() + "#" + ended.run(),
                        worker.id(),
                        "end=" + ended.end() + " number=" + ended.number()));
        Optional<Run> run = task.run(ended.run(), worker);
        if (ended.end() == RunEnd.DONE && task.checkpoint().isEmpty()) {
            run.ifPresent(r -> learn(task, r, now));
        }
        run.ifPresent(runs::close);
        task.step().job().ran();
        task.sawRun(ended.run());
        task.saved(ended.checkpoint());
        boolean lasts = task.step().spec().longRunning();
        if (ended.end() == RunEnd.DONE && !lasts) {
            worker.succeeded();
            ends.taskDone(task, now);
        } else if (ended.end() == RunEnd.FAILED) {
            worker.failed(now);
            task.failedOn().add(worker.id());
            if (lasts) {
                task.delayUntil(now + FAILED_SERVICE_PAUSE_MILLIS);
            } else {
                ends.taskFailed(task, ended.run(), now);
            }
        }
    }

    private void learn(TaskEntry task, Run run, long now) {
        if (run.startedAt() > 0) {
            times.learn(
                    task.step().job().policy().queue(),
                    task.step().spec().estimatedMillis(),
                    now - run.startedAt());
        }
    }

    /** Returns the run, if it may go on. */
    private Optional<Run> readRunning(WorkerRecord worker, RunningTask running, long now) {
        Optional<TaskEntry> known = find(running.task());
        if (known.isEmpty()) {
            return Optional.empty();
        }
        TaskEntry task = known.get();
        Run run =
                task.run(running.run(), worker).orElseGet(() -> adopt(worker, task, running, now));
        if (run.phase() == Run.Phase.STARTING || run.phase() == Run.Phase.UNCERTAIN) {
            run.enter(Run.Phase.RUNNING, now);
        }
        task.step().job().ran();
        run.progressed(running.percent(), now);
        run.gauge(running.gauge());
        task.saved(running.checkpoint());
        return Optional.of(run);
    }

    private Run adopt(WorkerRecord worker, TaskEntry task, RunningTask running, long now) {
        boolean wanted =
                !task.isDone()
                        && !task.step().job().state().isFinal()
                        && (task.runs().isEmpty() || task.step().spec().allowDuplicates());
        Run.Phase phase = wanted ? Run.Phase.RUNNING : Run.Phase.STOPPING;
        Run run = runs.open(task, worker, running.run(), phase, now);
        task.sawRun(running.run());
        task.step().begin();
        ends.started(task.step().job());
        notes.accept(BoardNote.of(BoardNote.Kind.ADOPTED, run, "wanted=" + wanted));
        return run;
    }

    private void readUnlisted(Run run, long sentAt, long now) {
        switch (run.phase()) {
            case STARTING -> {
                // The order is still under way.
            }
            case UNCERTAIN -> {
                if (sentAt > run.phaseSince()) {
                    run.enter(Run.Phase.STOPPING, now);
                }
            }
            case RUNNING -> {
                if (sentAt > run.phaseSince()) {
                    vanish(run, "not listed");
                }
            }
            case STOPPING -> {
                if (run.stopConfirmedBefore(sentAt)) {
                    vanish(run, "stopped");
                }
            }
            default -> throw new AssertionError(run.phase());
        }
    }

    private void vanish(Run run, String why) {
        notes.accept(BoardNote.of(BoardNote.Kind.VANISHED, run, why));
        runs.close(run);
    }

    private Optional<TaskEntry> find(TaskId id) {
        return jobs.find(id.job())
                .filter(j -> j.has(id.occurrence(), id.step(), id.index()))
                .map(j -> j.step(id.occurrence(), id.step()).tasks().get(id.index()));
    }
}
