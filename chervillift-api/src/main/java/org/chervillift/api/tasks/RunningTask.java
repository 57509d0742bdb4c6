package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * A run that a worker lists as running.
 *
 * @param task the task
 * @param run the number of the run
 * @param checkpoint the newest saved progress, or empty
 * @param percent how far the task is; for a task that serves, 100 once it is at work
 * @param gauge for a task that serves, the tail of its response times in milliseconds; for others
 *     the thousandths of a core in use
 */
public record RunningTask(TaskId task, int run, String checkpoint, int percent, double gauge) {
    public RunningTask {
        Checks.notNull("task", task);
        Checks.notNull("checkpoint", checkpoint);
    }
}
