package org.chervillift.bench.waves;

import java.time.Instant;
import java.util.Collection;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.standin.fleet.FakeFleet;

/**
 * One pool counted at the VMs themselves.
 *
 * @param available VMs in service that take work
 * @param required VMs that must stay available
 * @param outOnPurpose VMs that are out for maintenance
 */
record PoolCount(int available, int required, int outOnPurpose) {

    private static final int PERCENT = 100;

    static PoolCount of(PoolRow pool, Collection<VmRow> vms, FakeFleet fleet, Instant now) {
        int available = 0;
        int out = 0;
        for (VmRow v : vms) {
            boolean inService = v.state() == VmState.IN_SERVICE;
            if (inService && fleet.vm(v.id()).isAccepting(now)) {
                available++;
            }
            if (!inService && v.state() != VmState.FAILED) {
                out++;
            }
        }
        int required = (vms.size() * pool.minAvailablePercent() + PERCENT - 1) / PERCENT;
        return new PoolCount(available, required, out);
    }

    int margin() {
        return available - required;
    }
}
