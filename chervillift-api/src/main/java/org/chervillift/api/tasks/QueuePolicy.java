package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * How the jobs of a queue are treated.
 *
 * @param queue the queue's name
 * @param pool the pool whose workers run the tasks
 * @param priority the rank, where 0 goes first
 * @param maxAttempts how many runs of a task may fail before its job fails
 * @param stretchFactor how many times its shortest run time a job may take
 * @param targetLatencyMillis what a job may take beyond that
 * @param advised whether the advice service names the workers that may run a step
 */
public record QueuePolicy(
        String queue,
        String pool,
        int priority,
        int maxAttempts,
        double stretchFactor,
        long targetLatencyMillis,
        boolean advised) {

    public QueuePolicy {
        Checks.notBlank("queue", queue);
        Checks.notBlank("pool", pool);
        Checks.notNegative("priority", priority);
        Checks.inRange("maxAttempts", maxAttempts, 1, Integer.MAX_VALUE);
        Checks.notNegative("targetLatencyMillis", targetLatencyMillis);
    }
}
