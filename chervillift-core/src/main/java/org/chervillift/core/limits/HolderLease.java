package org.chervillift.core.limits;

import java.time.Instant;
import org.chervillift.api.Checks;

/**
 * The lease under which an entry VM's process may use the permits that it holds.
 *
 * @param holder the holder name, unique for each lease of a process and never reused
 * @param vm the VM that the process runs on
 * @param dataCentre the data centre of the VM
 * @param untilMillis the expiry by the holder's clock, in milliseconds since 1970 UTC
 */
public record HolderLease(String holder, String vm, String dataCentre, long untilMillis) {
    public HolderLease {
        Checks.notBlank("holder", holder);
        Checks.notBlank("vm", vm);
        Checks.notBlank("dataCentre", dataCentre);
    }

    /** Returns the expiry by the holder's clock. */
    public Instant expiresAt() {
        return Instant.ofEpochMilli(untilMillis);
    }
}
