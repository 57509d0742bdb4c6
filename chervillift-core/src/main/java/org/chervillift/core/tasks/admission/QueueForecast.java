package org.chervillift.core.tasks.admission;

import org.chervillift.api.Checks;

/**
 * When a job that is handed in to a queue now is expected to start at the earliest.
 *
 * @param queue the queue
 * @param startMillis the time until its start behind all work of the pool that goes first, in
 *     milliseconds
 * @param urgentMillis the same behind work of queues that are more urgent only; a job that is
 *     smaller than the others goes before work of the same urgency
 * @param meanWork the mean work of the jobs of the same urgency that go first, in thousandths of a
 *     core times milliseconds, as estimated by callers
 * @param runTimePercent the expected run times of the queue's tasks, in percent of what callers
 *     estimate
 */
public record QueueForecast(
        String queue, long startMillis, long urgentMillis, long meanWork, long runTimePercent) {

    /** Run times as callers estimate them. */
    static final long AS_ESTIMATED_PERCENT = 100;

    public QueueForecast {
        Checks.notBlank("queue", queue);
        Checks.notNegative("startMillis", startMillis);
        Checks.notNegative("urgentMillis", urgentMillis);
        Checks.notNegative("meanWork", meanWork);
        Checks.notNegative("runTimePercent", runTimePercent);
    }
}
