package org.chervillift.core.tasks;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobState;

/**
 * What must outlive the holder of a job.
 *
 * @param term the term of the holder that wrote it
 * @param state how far the job is
 * @param steps the steps of which tasks may have been started; empty once the state is final
 */
public record JobProgress(long term, JobState state, List<StepProgress> steps) {

    public JobProgress {
        Checks.notNull("state", state);
        steps = List.copyOf(steps);
    }

    /**
     * One occurrence of a step of which tasks may have been started.
     *
     * @param occurrence the occurrence
     * @param step the step
     * @param done the tasks that are done
     * @param failures the tasks of which runs have failed
     */
    public record StepProgress(
            int occurrence, int step, List<Integer> done, List<TaskFailures> failures) {
        public StepProgress {
            done = List.copyOf(done);
            failures = List.copyOf(failures);
        }
    }

    /**
     * The failed runs of a task.
     *
     * @param task the task's index
     * @param runs the numbers of the runs
     */
    public record TaskFailures(int task, List<Integer> runs) {
        public TaskFailures {
            runs = List.copyOf(runs);
        }
    }
}
