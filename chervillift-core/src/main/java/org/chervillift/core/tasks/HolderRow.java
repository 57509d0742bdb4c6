package org.chervillift.core.tasks;

import org.chervillift.api.Checks;

/**
 * The lease of the process that gives orders to the fleet.
 *
 * @param process the process, with a name that no other run of a process has
 * @param vm the entry VM on which it runs
 * @param term grows with each new holder; it is the fencing token
 * @param renewal grows with each renewal
 * @param leaseMillis how long the lease lasts after each renewal
 * @param released whether the holder has given the lease back
 */
public record HolderRow(
        String process, String vm, long term, long renewal, long leaseMillis, boolean released) {

    public HolderRow {
        Checks.notBlank("process", process);
        Checks.notBlank("vm", vm);
        Checks.notNegative("term", term);
        Checks.notNegative("leaseMillis", leaseMillis);
    }

    /** Returns the row after a renewal for a time. */
    public HolderRow afterRenewal(long newLeaseMillis) {
        return new HolderRow(process, vm, term, renewal + 1, newLeaseMillis, released);
    }

    /** Returns the row that gives the lease back. */
    public HolderRow afterRelease() {
        return new HolderRow(process, vm, term, renewal + 1, leaseMillis, true);
    }
}
