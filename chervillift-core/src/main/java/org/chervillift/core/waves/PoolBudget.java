package org.chervillift.core.waves;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.core.fleet.FleetHealth;

/**
 * The availability budget of one pool within one decision.
 *
 * <p>A VM is available only if its row says that it is in service and the last health check saw it
 * accept requests. Every other VM counts as unavailable: failed, draining, rebooting, moving or
 * unknown.
 */
public final class PoolBudget {

    private final FleetHealth health;
    private final WaveSettings settings;
    private final Map<String, Integer> availableByRack = new HashMap<>();
    private final Set<String> racksInMaintenance = new HashSet<>();
    private final PoolRow pool;
    private int poolSize;
    private int available;
    private int onProbation;
    private int passedProbation;

    private PoolBudget(PoolRow pool, FleetHealth health, WaveSettings settings) {
        this.pool = pool;
        this.health = health;
        this.settings = settings;
    }

    /**
     * Creates the budget of a pool.
     *
     * @param vms all VMs of the pool
     * @param health which VMs accept requests, no older than the settings allow
     * @param wave the wave for which VMs are to be taken out, if any
     */
    public static PoolBudget of(
            PoolRow pool,
            Collection<VmRow> vms,
            FleetHealth health,
            Optional<WaveRow> wave,
            WaveSettings settings,
            Instant now) {
        PoolBudget budget = new PoolBudget(pool, health, settings);
        long maintainedAfter = wave.map(WaveRow::startedAtMillis).orElse(Long.MAX_VALUE);
        for (VmRow v : vms) {
            budget.count(v, maintainedAfter, now);
        }
        return budget;
    }

    private void count(VmRow vm, long maintainedAfter, Instant now) {
        if (vm.state() == VmState.JOINING) {
            return;
        }
        poolSize++;
        if (!isAvailable(vm)) {
            if (isOutForMaintenance(vm.state())) {
                racksInMaintenance.add(vm.rack());
            }
            return;
        }
        available++;
        availableByRack.merge(vm.rack(), 1, Integer::sum);
        Instant maintained = Instant.ofEpochMilli(vm.maintainedAtMillis());
        if (now.isBefore(maintained.plus(settings.probation()))) {
            onProbation++;
        } else if (vm.maintainedAtMillis() >= maintainedAfter) {
            passedProbation++;
        }
    }

    private boolean isAvailable(VmRow vm) {
        return vm.state() == VmState.IN_SERVICE && health.isUp(vm.id());
    }

    private static boolean isOutForMaintenance(VmState state) {
        return switch (state) {
            case DRAINING, REBOOTING, MOVING, RETURNING -> true;
            case IN_SERVICE, JOINING, FAILED, OUT -> false;
        };
    }

    /** Returns whether the VM may be taken out now. */
    public boolean canTakeOut(VmRow vm) {
        if (!isAvailable(vm)) {
            return false;
        }
        int atRisk = passedProbation >= settings.provenAfter() ? 0 : onProbation;
        return available - 1 - atRisk - reserveAfterTaking(vm) >= required();
    }

    /** Records that a VM is taken out. */
    public void recordTakenOut(VmRow vm) {
        available--;
        availableByRack.merge(vm.rack(), -1, Integer::sum);
        racksInMaintenance.add(vm.rack());
    }

    /** Returns whether VMs of this rack are out for maintenance. */
    public boolean isRackInMaintenance(String rack) {
        return racksInMaintenance.contains(rack);
    }

    /** Returns how many VMs must stay available. */
    public int required() {
        return pool.required(poolSize);
    }

    /** Returns how many VMs are available. */
    public int available() {
        return available;
    }

    /** Returns a sentence that explains why no VM can be taken out. */
    public String shortageReason() {
        return "Pool %s has %d of %d VMs available and must keep %d; %d returned in the last %d s."
                .formatted(
                        pool.name(),
                        available,
                        poolSize,
                        required(),
                        onProbation,
                        settings.probation().toSeconds());
    }

    /**
     * Returns the number of VMs to keep in reserve for failures: the configured number while only
     * one rack is out for maintenance, otherwise the available VMs of the largest remaining rack.
     */
    private int reserveAfterTaking(VmRow vm) {
        boolean isOnlyOneRackOut =
                racksInMaintenance.isEmpty() || racksInMaintenance.equals(Set.of(vm.rack()));
        if (isOnlyOneRackOut) {
            return Math.clamp(poolSize - required() - 1L, 0, settings.reserve());
        }
        return availableByRack.entrySet().stream()
                .mapToInt(e -> e.getKey().equals(vm.rack()) ? e.getValue() - 1 : e.getValue())
                .max()
                .orElse(0);
    }
}
