package org.chervillift.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.platform.Transaction.Condition;

/**
 * A snapshot of the fleet, read in one round of a duty.
 *
 * @param duty the duty's row as read at the start of the round; empty for an operator's command
 * @param vms the rows of VMs by identifier
 * @param pools the rows of pools by name
 * @param waves the rows of waves by identifier
 * @param health which VMs accept requests
 * @param statuses the status answers of VMs in this round, by identifier
 */
public record FleetView(
        Optional<Versioned<DutyRow>> duty,
        SortedMap<String, Versioned<VmRow>> vms,
        SortedMap<String, Versioned<PoolRow>> pools,
        SortedMap<String, Versioned<WaveRow>> waves,
        FleetHealth health,
        Map<String, VmStatus> statuses) {

    public FleetView {
        Checks.notNull("duty", duty);
        vms = new TreeMap<>(vms);
        pools = new TreeMap<>(pools);
        waves = new TreeMap<>(waves);
        Checks.notNull("health", health);
        statuses = Map.copyOf(statuses);
    }

    /** Returns the status of a VM, if it answered in this round. */
    public Optional<VmStatus> status(String vm) {
        return Optional.ofNullable(statuses.get(vm));
    }

    /** Returns the conditions of a write: that the duty is still held, and those given. */
    public List<Condition> conditions(Condition... others) {
        List<Condition> all = new ArrayList<>();
        duty.ifPresent(d -> all.add(new Condition(DutyRow.key(d.row().name()), d.version())));
        all.addAll(List.of(others));
        return all;
    }

    /** Returns the condition that a VM's row has not changed since it was read. */
    public Condition vmUnchanged(String vm) {
        return new Condition(VmRow.key(vm), vms.get(vm).version());
    }

    /** Returns the condition that a pool's row has not changed since it was read. */
    public Condition poolUnchanged(String pool) {
        return new Condition(PoolRow.key(pool), pools.get(pool).version());
    }

    /** Returns the condition that a wave's row has not changed since it was read. */
    public Condition waveUnchanged(String wave) {
        return new Condition(WaveRow.key(wave), waves.get(wave).version());
    }
}
