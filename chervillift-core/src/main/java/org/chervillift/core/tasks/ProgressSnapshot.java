package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.core.tasks.JobProgress.StartedRun;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.JobProgress.TaskFailures;

/** Converts the state of a job into the progress that is stored. */
final class ProgressSnapshot {

    private ProgressSnapshot() {}

    static JobProgress of(JobEntry job, long term) {
        List<StepProgress> steps = new ArrayList<>();
        if (!job.state().isFinal()) {
            job.steps()
                    .filter(s -> !s.begunPools().isEmpty())
                    .map(ProgressSnapshot::step)
                    .forEach(steps::add);
        }
        return new JobProgress(term, job.state(), steps, job.failure());
    }

    private static StepProgress step(StepEntry step) {
        List<Integer> done =
                step.tasks().stream().filter(TaskEntry::isDone).map(TaskEntry::index).toList();
        List<TaskFailures> failures =
                step.tasks().stream()
                        .filter(t -> !t.isDone() && hasFailures(t))
                        .map(ProgressSnapshot::failuresOf)
                        .toList();
        return new StepProgress(
                step.occurrence(), step.number(), done, failures, step.begunPools().toStored());
    }

    private static boolean hasFailures(TaskEntry task) {
        return !task.failedRuns().isEmpty() || !task.crashes().isEmpty();
    }

    private static TaskFailures failuresOf(TaskEntry task) {
        return new TaskFailures(
                task.index(),
                List.copyOf(task.failedRuns()),
                task.crashes().toStored(startedRunsOf(task)));
    }

    private static List<StartedRun> startedRunsOf(TaskEntry task) {
        return task.runs().stream()
                .filter(r -> r.phase() != Run.Phase.STOPPING)
                .map(r -> new StartedRun(r.number(), r.worker().id(), r.worker().bornAtMillis()))
                .toList();
    }
}
