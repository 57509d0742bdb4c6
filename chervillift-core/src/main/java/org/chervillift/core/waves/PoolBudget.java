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
 * The availability budget of one pool, as one decision uses it up.
 *
 * <p>A VM is available only if its row says that it is in service and it was seen to take work.
 * Every other VM counts as unavailable: failed, draining, rebooting, moving or unknown.
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
     * Counts a pool.
     *
     * @param vms all VMs of the pool
     * @param health which VMs were seen to take work, no older than the settings allow
     * @param wave the wave that wants to take VMs out, if it is one
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
        int doubtful = passedProbation >= settings.provenAfter() ? 0 : onProbation;
        return available - 1 - doubtful - reserveAfterTaking(vm) >= required();
    }

    /** Takes a VM out of the count. */
    public void recordTakenOut(VmRow vm) {
        available--;
        availableByRack.merge(vm.rack(), -1, Integer::sum);
        racksInMaintenance.add(vm.rack());
    }

    /** Returns whether VMs of this rack are out on purpose. */
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

    /** Returns one plain sentence that says why no VM can be taken out. */
    public String shortageReason() {
        return "Pool %s has %d of %d VMs available and must keep %d; %d came back within %d s."
                .formatted(
                        pool.name(),
                        available,
                        poolSize,
                        required(),
                        onProbation,
                        settings.probation().toSeconds());
    }

    /** Room for failures: some VMs within one rack, a whole rack when a second rack is out. */
    private int reserveAfterTaking(VmRow vm) {
        boolean oneRack =
                racksInMaintenance.isEmpty() || racksInMaintenance.equals(Set.of(vm.rack()));
        if (oneRack) {
            return Math.clamp(poolSize - required() - 1L, 0, settings.reserve());
        }
        return availableByRack.entrySet().stream()
                .mapToInt(e -> e.getKey().equals(vm.rack()) ? e.getValue() - 1 : e.getValue())
                .max()
                .orElse(0);
    }
}
