package org.chervillift.core.tasks;

import org.chervillift.api.Checks;
import org.chervillift.core.tasks.JobProgress.StepProgress;

/**
 * A part of the progress of a job that does not fit in one row.
 *
 * @param term the term of the holder that wrote the part
 * @param tasks the progress of the tasks of the part
 */
public record ProgressPart(long term, StepProgress tasks) {

    /** The number of the part that holds which tasks of a step are done. */
    public static final int DONE_TASKS = -1;

    /** The number of tasks whose failed and crashed runs are stored in one part. */
    static final int TASKS_PER_PART = 16;

    public ProgressPart {
        Checks.notNull("tasks", tasks);
    }

    /** Returns the number of the part that holds the failed and crashed runs of a task. */
    static int numberOf(TaskEntry task) {
        return task.index() / TASKS_PER_PART;
    }
}
