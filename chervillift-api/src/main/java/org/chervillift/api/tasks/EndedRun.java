package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * A run that a worker lists as ended.
 *
 * @param number counts the ends of the worker's lifetime, from 1
 * @param task the task
 * @param run the number of the run
 * @param end how it ended
 * @param checkpoint the newest saved progress, or empty
 */
public record EndedRun(long number, TaskId task, int run, RunEnd end, String checkpoint) {
    public EndedRun {
        Checks.notNull("task", task);
        Checks.notNull("end", end);
        Checks.notNull("checkpoint", checkpoint);
    }
}
