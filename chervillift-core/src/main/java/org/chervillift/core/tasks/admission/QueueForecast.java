package org.chervillift.core.tasks.admission;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Resources;

/**
 * When a job that is handed in to a queue now starts at the earliest.
 *
 * @param queue the queue
 * @param startMillis the time until then, in milliseconds
 * @param largest the most that a task that goes first needs of each resource; a job of smaller
 *     tasks may find room beside those that wait
 * @param runTimePercent the expected run times of the queue's tasks, in percent of what callers
 *     estimate
 */
public record QueueForecast(
        String queue, long startMillis, Resources largest, long runTimePercent) {

    /** Run times as callers estimate them. */
    static final long AS_ESTIMATED_PERCENT = 100;

    public QueueForecast {
        Checks.notBlank("queue", queue);
        Checks.notNegative("startMillis", startMillis);
        Checks.notNull("largest", largest);
        Checks.notNegative("runTimePercent", runTimePercent);
    }
}
