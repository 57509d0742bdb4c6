package org.chervillift.core.limits;

import java.time.Instant;
import org.chervillift.api.Checks;

/**
 * The right of one run of an entry VM's process to use the permits that it holds.
 *
 * @param holder unique for each run of a process, and never used again
 * @param vm the VM that the process runs on
 * @param dataCentre the data centre of the VM
 * @param untilMillis the end of the lease by the holder's clock, in milliseconds since 1970 UTC
 */
public record HolderLease(String holder, String vm, String dataCentre, long untilMillis) {
    public HolderLease {
        Checks.notBlank("holder", holder);
        Checks.notBlank("vm", vm);
        Checks.notBlank("dataCentre", dataCentre);
    }

    /** Returns the end of the lease by the holder's clock. */
    public Instant expiresAt() {
        return Instant.ofEpochMilli(untilMillis);
    }
}
