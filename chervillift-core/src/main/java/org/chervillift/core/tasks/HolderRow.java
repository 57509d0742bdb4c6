package org.chervillift.core.tasks;

import org.chervillift.api.Checks;

/**
 * The stored lease of the holder: the process that schedules the tasks of the fleet.
 *
 * @param process the unique name of the holding process, which changes with each restart
 * @param vm the entry VM on which it runs
 * @param term increases with each new holder; serves as the fencing token
 * @param renewal increases with each write of the same holder
 * @param leaseMillis how long the lease lasts after each renewal
 * @param released whether the holder has released the lease
 */
public record HolderRow(
        String process, String vm, long term, long renewal, long leaseMillis, boolean released) {

    public HolderRow {
        Checks.notBlank("process", process);
        Checks.notBlank("vm", vm);
        Checks.notNegative("term", term);
        Checks.notNegative("leaseMillis", leaseMillis);
    }

    /** Returns the row after a renewal with a new lease duration. */
    public HolderRow afterRenewal(long newLeaseMillis) {
        return new HolderRow(process, vm, term, renewal + 1, newLeaseMillis, released);
    }

    /** Returns the row after the holder has released the lease. */
    public HolderRow afterRelease() {
        return new HolderRow(process, vm, term, renewal + 1, leaseMillis, true);
    }
}
