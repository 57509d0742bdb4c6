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
import org.chervillift.core.fleet.Health;

/**
 * The availability budget of one pool, as one decision uses it up.
 *
 * <p>A VM is available only if its row says that it is in service and it was seen to take work.
 * Every other VM counts as unavailable: failed, draining, rebooting, moving or unknown.
 */
public final class PoolBudget {

    private final Health health;
    private final WaveSettings settings;
    private final Map<String, Integer> availableByRack = new HashMap<>();
    private final Set<String> racksOut = new HashSet<>();
    private final PoolRow pool;
    private int size;
    private int available;
    private int atRisk;
    private int proven;

    private PoolBudget(PoolRow pool, Health health, WaveSettings settings) {
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
            Health health,
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
        size++;
        if (!isAvailable(vm)) {
            if (isOutOnPurpose(vm.state())) {
                racksOut.add(vm.rack());
            }
            return;
        }
        available++;
        availableByRack.merge(vm.rack(), 1, Integer::sum);
        Instant maintained = Instant.ofEpochMilli(vm.maintainedAtMillis());
        if (now.isBefore(maintained.plus(settings.probation()))) {
            atRisk++;
        } else if (vm.maintainedAtMillis() >= maintainedAfter) {
            proven++;
        }
    }

    private boolean isAvailable(VmRow vm) {
        return vm.state() == VmState.IN_SERVICE && health.isUp(vm.id());
    }

    private static boolean isOutOnPurpose(VmState state) {
        return switch (state) {
            case DRAINING, REBOOTING, MOVING, RETURNING -> true;
            case IN_SERVICE, JOINING, FAILED, OUT -> false;
        };
    }

    /** Returns whether the VM may be taken out now. */
    public boolean allows(VmRow vm) {
        if (!isAvailable(vm)) {
            return false;
        }
        int doubtful = proven >= settings.provenAfter() ? 0 : atRisk;
        return available - 1 - doubtful - reserveWith(vm) >= required();
    }

    /** Takes a VM out of the count. */
    public void take(VmRow vm) {
        available--;
        availableByRack.merge(vm.rack(), -1, Integer::sum);
        racksOut.add(vm.rack());
    }

    /** Returns whether VMs of this rack are out on purpose. */
    public boolean isRackOut(String rack) {
        return racksOut.contains(rack);
    }

    /** Returns how many VMs must stay available. */
    public int required() {
        return pool.required(size);
    }

    /** Returns how many VMs are available. */
    public int available() {
        return available;
    }

    /** Returns one plain sentence that says why no VM can be taken out. */
    public String whyNot() {
        return "Pool %s has %d of %d VMs available and must keep %d; %d came back within %d s."
                .formatted(
                        pool.name(),
                        available,
                        size,
                        required(),
                        atRisk,
                        settings.probation().toSeconds());
    }

    /** Room for failures: some VMs within one rack, a whole rack when a second rack is out. */
    private int reserveWith(VmRow vm) {
        boolean oneRack = racksOut.isEmpty() || racksOut.equals(Set.of(vm.rack()));
        if (oneRack) {
            return Math.clamp(size - required() - 1L, 0, settings.reserve());
        }
        return availableByRack.entrySet().stream()
                .mapToInt(e -> e.getKey().equals(vm.rack()) ? e.getValue() - 1 : e.getValue())
                .max()
                .orElse(0);
    }
}
