package org.chervillift.core.tasks;

import org.chervillift.api.Checks;

/**
 * The term and the timeouts of the task scheduler.
 *
 * @param term the term of this holder, which is also its fencing token
 * @param predecessorLeaseMillis how long worker leases granted by an earlier holder may last
 * @param stopTimeoutMillis how long a worker may take to stop a run
 * @param vmMoveMillis how long a VM takes to join another pool
 * @param remoteFactor how many times as long tasks run away from the rack of their data, or spread
 *     over racks though they are tightly coupled; 1 if a wait for a rack never pays
 */
public record SchedulerSettings(
        long term,
        long predecessorLeaseMillis,
        long stopTimeoutMillis,
        long vmMoveMillis,
        double remoteFactor) {
    public SchedulerSettings {
        Checks.inRange("term", term, 1, Integer.MAX_VALUE);
        Checks.notNegative("predecessorLeaseMillis", predecessorLeaseMillis);
        Checks.notNegative("stopTimeoutMillis", stopTimeoutMillis);
        Checks.notNegative("vmMoveMillis", vmMoveMillis);
        Checks.that(remoteFactor >= 1, "remoteFactor must be at least 1");
    }
}
