package org.chervillift.core.tasks;

import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.JobProgress.TaskFailures;

/** Restores the progress of a job that an earlier holder stored. */
final class ProgressRestorer {

    private final JobLifecycle lifecycle;
    private final InheritedStarts inheritedStarts;
    private final RunNumbers numbers;

    ProgressRestorer(JobLifecycle lifecycle, InheritedStarts inheritedStarts, RunNumbers numbers) {
        this.lifecycle = lifecycle;
        this.inheritedStarts = inheritedStarts;
        this.numbers = numbers;
    }

    /** Restores the progress of a job of which this holder knows only what its caller asked for. */
    void restore(JobEntry job, JobProgress progress) {
        job.restoreDoneOccurrences(progress.doneOccurrences());
        if (!progress.doneOccurrences().isEmpty()) {
            job.markHasRun();
        }
        progress.steps().forEach(s -> restoreStep(job, s));
        progress.steps().forEach(s -> restoreFailures(job, s));
        progress.partsTerm().ifPresent(job::restoreParts);
        if (progress.state().isFinal()) {
            lifecycle.restoreEnd(job, progress);
        } else if (!progress.steps().isEmpty() || !progress.doneOccurrences().isEmpty()) {
            lifecycle.markStarted(job);
        }
    }

    private void restoreStep(JobEntry job, StepProgress stored) {
        StepEntry step = job.step(stored.occurrence(), stored.step());
        step.begunPools().restore(stored.pools());
        if (stored.hasDone() || !stored.failures().isEmpty()) {
            job.markHasRun();
        }
        stored.done().forEach(step.tasks()::markDone);
        stored.doneRanges().forEach(step.tasks()::markDone);
    }

    /** Restores the failures of the tasks of which it is not known that they are done. */
    private void restoreFailures(JobEntry job, StepProgress stored) {
        StepTasks tasks = job.step(stored.occurrence(), stored.step()).tasks();
        stored.failures().stream()
                .filter(f -> !tasks.isDone(f.task()))
                .forEach(f -> restoreFailures(tasks.get(f.task()), f));
    }

    private void restoreFailures(TaskEntry task, TaskFailures failures) {
        task.restore(failures, numbers);
        failures.crashes().started().forEach(r -> inheritedStarts.add(task, r));
    }
}
