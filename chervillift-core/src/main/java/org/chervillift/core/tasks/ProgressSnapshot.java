package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.chervillift.core.tasks.JobProgress.StartedRun;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.JobProgress.TaskFailures;

/** Converts the state of a job into the progress that is stored. */
final class ProgressSnapshot {

    /** Steps with more done tasks are stored by ranges, which earlier releases cannot read. */
    private static final int MAX_LISTED_INDEXES = 500;

    private ProgressSnapshot() {}

    static JobProgress of(JobEntry job, long term) {
        List<StepProgress> steps = new ArrayList<>();
        if (!job.state().isFinal()) {
            job.steps()
                    .filter(s -> !s.begunPools().isEmpty())
                    .filter(s -> !job.isCondensed(s.occurrence()))
                    .map(ProgressSnapshot::step)
                    .forEach(steps::add);
        }
        return new JobProgress(
                term,
                job.state(),
                steps,
                job.failure(),
                job.isFinal() ? List.of() : job.condensedOccurrences());
    }

    private static StepProgress step(StepEntry step) {
        List<IndexRange> ranges = step.tasks().doneRanges();
        boolean few = step.tasks().doneCount() <= MAX_LISTED_INDEXES;
        List<TaskFailures> failures =
                step.tasks().kept().stream()
                        .filter(t -> !t.isDone() && hasFailures(t))
                        .map(ProgressSnapshot::failuresOf)
                        .toList();
        return new StepProgress(
                step.occurrence(),
                step.number(),
                few ? indexesOf(ranges) : List.of(),
                failures,
                step.begunPools().toStored(),
                few ? List.of() : ranges);
    }

    private static List<Integer> indexesOf(List<IndexRange> ranges) {
        return ranges.stream()
                .flatMapToInt(r -> IntStream.rangeClosed(r.first(), r.last()))
                .boxed()
                .toList();
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
