package org.chervillift.core.fleet;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.platform.Transaction.Condition;

/**
 * Writes to rows of the fleet in one transaction.
 *
 * @param conditions the versions that rows must have, at least one
 * @param vms the rows of VMs to put
 * @param pools the rows of pools to put
 * @param waves the rows of waves to put
 */
public record FleetWrite(
        List<Condition> conditions, List<VmRow> vms, List<PoolRow> pools, List<WaveRow> waves) {

    public FleetWrite {
        conditions = List.copyOf(conditions);
        vms = List.copyOf(vms);
        pools = List.copyOf(pools);
        waves = List.copyOf(waves);
        Checks.that(!conditions.isEmpty(), "a write needs at least one condition");
    }

    /** Returns a write of one VM's row. */
    public static FleetWrite vm(List<Condition> conditions, VmRow row) {
        return new FleetWrite(conditions, List.of(row), List.of(), List.of());
    }

    /** Returns a write of one wave's row. */
    public static FleetWrite wave(List<Condition> conditions, WaveRow row) {
        return new FleetWrite(conditions, List.of(), List.of(), List.of(row));
    }
}
