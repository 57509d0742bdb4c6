package org.chervillift.core.tasks.admission;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Resources;

/**
 * The work of a customer that waits in a queue, of jobs that are on time.
 *
 * @param queue the queue
 * @param pool the pool of the queue
 * @param priority the rank of the queue, where 0 goes first
 * @param customer the customer, or empty
 * @param customerMilliCores what may start for the customer beside what runs, in thousandths of a
 *     core; the largest long if nothing limits it
 * @param onTimeMillis for how long its jobs are on time; it is not counted after that
 * @param largest the most that a task of it needs of each resource
 * @param work the expected work, in thousandths of a core times milliseconds
 * @param estimatedWork the same as estimated by callers
 */
public record WaitingWork(
        String queue,
        String pool,
        int priority,
        String customer,
        long customerMilliCores,
        long onTimeMillis,
        Resources largest,
        double work,
        double estimatedWork) {
    public WaitingWork {
        Checks.notBlank("queue", queue);
        Checks.notBlank("pool", pool);
        Checks.notNull("customer", customer);
        Checks.notNull("largest", largest);
    }

    /** Returns the sum of the work of jobs of the same queue and customer. */
    public WaitingWork plus(WaitingWork other) {
        return new WaitingWork(
                queue,
                pool,
                priority,
                customer,
                customerMilliCores,
                Math.min(onTimeMillis, other.onTimeMillis),
                largest.max(other.largest),
                work + other.work,
                estimatedWork + other.estimatedWork);
    }
}
