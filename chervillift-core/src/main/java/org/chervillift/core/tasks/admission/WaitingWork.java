package org.chervillift.core.tasks.admission;

import org.chervillift.api.Checks;

/**
 * The work of a customer that waits in a queue and goes before a job that is handed in now.
 *
 * @param queue the queue
 * @param pool the pool of the queue
 * @param priority the rank of the queue, where 0 goes first
 * @param customer the customer, or empty
 * @param work the expected work, in thousandths of a core times milliseconds
 * @param estimatedWork the same as estimated by callers
 * @param jobs the number of jobs
 */
public record WaitingWork(
        String queue,
        String pool,
        int priority,
        String customer,
        double work,
        double estimatedWork,
        int jobs) {
    public WaitingWork {
        Checks.notBlank("queue", queue);
        Checks.notBlank("pool", pool);
        Checks.notNull("customer", customer);
    }

    /** Returns the sum of the work of two jobs of the same queue and customer. */
    public WaitingWork plus(WaitingWork other) {
        return new WaitingWork(
                queue,
                pool,
                priority,
                customer,
                work + other.work,
                estimatedWork + other.estimatedWork,
                jobs + other.jobs);
    }
}
