package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.chervillift.core.tasks.JobProgress.StartedRun;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.JobProgress.TaskFailures;

/** Converts the state of a job into the rows of progress that are stored. */
final class ProgressSnapshot {

    /** Steps with more done tasks are stored by ranges, which earlier releases cannot read. */
    private static final int MAX_LISTED_INDEXES = 500;

    private ProgressSnapshot() {}

    /** Returns the row that holds the whole progress of a job. */
    static ProgressRow.Whole whole(JobEntry job, long term) {
        List<StepProgress> steps = new ArrayList<>();
        if (!job.state().isFinal()) {
            job.steps()
                    .filter(s -> !s.begunPools().isEmpty())
                    .filter(s -> !job.isCondensed(s.occurrence()))
                    .map(ProgressSnapshot::step)
                    .forEach(steps::add);
        }
        return new ProgressRow.Whole(
                job.id(),
                new JobProgress(
                        term,
                        job.state(),
                        steps,
                        job.failure(),
                        job.isFinal() ? List.of() : job.condensedOccurrences()));
    }

    /** Returns the row of a job whose progress is stored in parts. */
    static ProgressRow.Head head(JobEntry job, long term) {
        return new ProgressRow.Head(
                job.id(),
                new JobProgressHead(
                        term,
                        job.state(),
                        job.failure(),
                        job.condensedOccurrences(),
                        job.partsTerm()));
    }

    /** Returns a part of the progress of a step. */
    static ProgressRow.Part part(StepEntry step, int number, long term) {
        StepProgress progress =
                number == ProgressPart.DONE_TASKS
                        ? progressOf(step, List.of())
                        : new StepProgress(
                                step.occurrence(),
                                step.number(),
                                List.of(),
                                failuresIn(step, number),
                                step.begunPools().toStored(),
                                List.of());
        return new ProgressRow.Part(step.job().id(), number, new ProgressPart(term, progress));
    }

    private static List<TaskFailures> failuresIn(StepEntry step, int number) {
        int first = number * ProgressPart.TASKS_PER_PART;
        return failuresOf(step.tasks().kept(first, first + ProgressPart.TASKS_PER_PART - 1));
    }

    private static StepProgress step(StepEntry step) {
        return progressOf(step, failuresOf(step.tasks().kept()));
    }

    private static StepProgress progressOf(StepEntry step, List<TaskFailures> failures) {
        List<IndexRange> ranges = step.tasks().doneRanges();
        boolean few = step.tasks().doneCount() <= MAX_LISTED_INDEXES;
        return new StepProgress(
                step.occurrence(),
                step.number(),
                few ? indexesOf(ranges) : List.of(),
                failures,
                step.begunPools().toStored(),
                few ? List.of() : ranges);
    }

    private static List<TaskFailures> failuresOf(Collection<TaskEntry> tasks) {
        return tasks.stream()
                .filter(t -> !t.isDone() && hasFailures(t))
                .map(ProgressSnapshot::failuresOf)
                .toList();
    }

    private static List<Integer> indexesOf(List<IndexRange> ranges) {
        return ranges.stream()
                .flatMapToInt(r -> IntStream.rangeClosed(r.first(), r.last()))
                .boxed()
                .toList();
    }

    /** Returns whether a run of a task has failed, or a worker has crashed under one. */
    static boolean hasFailures(TaskEntry task) {
        return !task.failedRuns().isEmpty() || !task.crashes().isEmpty();
    }

    private static TaskFailures failuresOf(TaskEntry task) {
        return new TaskFailures(
                task.index(),
                task.failedRuns().kept(),
                task.crashes().toStored(startedRunsOf(task)));
    }

    private static List<StartedRun> startedRunsOf(TaskEntry task) {
        return task.runs().stream()
                .filter(r -> r.phase() != Run.Phase.STOPPING)
                .map(r -> new StartedRun(r.number(), r.worker().id(), r.worker().bornAtMillis()))
                .toList();
    }
}
