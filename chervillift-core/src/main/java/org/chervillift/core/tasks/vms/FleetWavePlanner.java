package org.chervillift.core.tasks.vms;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;

/**
 * Decides which VMs of a maintenance wave are drained and maintained now.
 *
 * <p>A wave may coincide with surges of several queues in turn: idle VMs go first, VMs of a pool
 * that is short of capacity wait as long as the deadline of the wave allows, and a VM is maintained
 * once it has no runs. VMs with long-running tasks are drained from the start of the wave, a few in
 * each pool at a time, since only a few tasks of a step may be down at once: the rest of these VMs
 * could not be drained in the time that is left when all others are done.
 */
public final class FleetWavePlanner {

    /** The time that draining a VM usually takes. */
    private static final long DRAIN_MILLIS = 1_500;

    /** The deadline is at risk once the time left exceeds the time needed by no more than this. */
    private static final long DEADLINE_MARGIN_MILLIS = 3_000;

    /** The share of the remaining time in which the wave should be completed. */
    private static final double TARGET_TIME_SHARE = 0.7;

    /** How many VMs with long-running tasks are drained in a pool at a time. */
    private static final int LONG_RUNNING_DRAINS_PER_POOL = 3;

    /** A pool that uses more than this share of its cores can spare no VM. */
    private static final double BUSY_CORE_SHARE = 0.9;

    private FleetWavePlanner() {}

    /**
     * The progress of a wave.
     *
     * @param order the operator's order
     * @param startedAt when the order was first seen, in milliseconds
     * @param maintained the VMs whose maintenance has begun
     */
    public record Progress(WaveOrder order, long startedAt, Set<String> maintained) {
        public Progress {
            maintained = Set.copyOf(maintained);
        }

        /** Returns the VMs whose maintenance has not begun. */
        public List<String> remainingVms() {
            return order.vms().stream().filter(vm -> !maintained.contains(vm)).toList();
        }

        private long deadline() {
            return startedAt + order.durationMillis();
        }
    }

    /**
     * What to do with the VMs of a wave now.
     *
     * @param maintain the VMs to maintain
     * @param drain the VMs that accept no new tasks until they are maintained
     * @param deadlineAtRisk whether running tasks may be stopped, so that the wave ends in time
     * @param completed whether all VMs of the wave are maintained and up again
     */
    public record Decision(
            List<String> maintain, List<String> drain, boolean deadlineAtRisk, boolean completed) {
        public Decision {
            maintain = List.copyOf(maintain);
            drain = List.copyOf(drain);
        }
    }

    /**
     * The state of the fleet.
     *
     * @param vms all VMs by name
     * @param pools the load of the pools by name
     * @param standby the pools whose VMs are off
     * @param gone the VMs that no longer exist
     * @param draining the VMs that are being drained already
     * @param maintenanceMillis how long the maintenance of a VM takes
     */
    public record Fleet(
            Map<String, VmView> vms,
            Map<String, PoolLoad> pools,
            Set<String> standby,
            Set<String> gone,
            Set<String> draining,
            long maintenanceMillis) {
        public Fleet {
            vms = Map.copyOf(vms);
            pools = Map.copyOf(pools);
            standby = Set.copyOf(standby);
            gone = Set.copyOf(gone);
            draining = Set.copyOf(draining);
        }

        private boolean isAnyPoolShort() {
            return pools.values().stream().anyMatch(PoolLoad::isShortOfCapacity);
        }
    }

    /** Decides what to do with the VMs of a wave now. */
    public static Decision decide(Progress wave, Fleet fleet, long now) {
        List<VmView> remaining = new ArrayList<>();
        int down = 0;
        for (String name : wave.order().vms()) {
            VmView view = fleet.vms().get(name);
            if (view == null) {
                // A VM that is only missing from a list may be down for its maintenance.
                down += fleet.gone().contains(name) ? 0 : 1;
                continue;
            }
            boolean maintained = wave.maintained().contains(name);
            if (!maintained) {
                remaining.add(view);
            }
            down += isDown(view) ? 1 : 0;
        }
        if (remaining.isEmpty()) {
            return new Decision(List.of(), List.of(), false, down == 0);
        }
        long perVmMillis = fleet.maintenanceMillis() + DRAIN_MILLIS;
        long timeLeftMillis = wave.deadline() - now;
        int cap = wave.order().cap();
        long neededMillis = Math.ceilDiv(remaining.size(), cap) * perVmMillis;
        boolean deadlineAtRisk = timeLeftMillis <= neededMillis + DEADLINE_MARGIN_MILLIS;
        int concurrency =
                deadlineAtRisk
                        ? cap
                        : Math.min(
                                cap,
                                requiredConcurrency(
                                        remaining.size() + down, perVmMillis, timeLeftMillis));
        if (!deadlineAtRisk && fleet.isAnyPoolShort()) {
            concurrency = Math.ceilDiv(concurrency, 2);
        }
        return chooseVms(remaining, fleet, concurrency - down, deadlineAtRisk);
    }

    /** Returns how many VMs must be down at once for the wave to end well before its deadline. */
    private static int requiredConcurrency(int count, long perVmMillis, long timeLeftMillis) {
        double usableMillis = Math.max(1, timeLeftMillis * TARGET_TIME_SHARE);
        return (int) Math.ceil(count * perVmMillis / usableMillis);
    }

    /**
     * Returns whether a VM is down: from the maintenance order until the list shows it up again.
     */
    private static boolean isDown(VmView view) {
        return view.vm().status() == Status.MAINTENANCE
                || view.pendingOrder() == PendingOrder.MAINTENANCE;
    }

    private static Decision chooseVms(
            List<VmView> remaining, Fleet fleet, int slots, boolean deadlineAtRisk) {
        List<VmView> candidates =
                remaining.stream()
                        .filter(VmView::isUpWithoutOrder)
                        .filter(
                                v ->
                                        deadlineAtRisk
                                                || isDrainedOfLongRunningTasks(v, fleet)
                                                || canBeSpared(v, fleet))
                        .sorted(maintenanceOrder(fleet.draining()))
                        .toList();
        List<String> maintain = new ArrayList<>();
        Set<String> drain = new LinkedHashSet<>(longRunningDrains(candidates));
        int free = slots;
        for (VmView view : candidates) {
            String name = view.vm().name();
            if (free > 0) {
                (view.load().isIdle() ? maintain : drain).add(name);
                free--;
            } else if (isDrainedOfLongRunningTasks(view, fleet)) {
                drain.add(name);
            }
        }
        return new Decision(maintain, List.copyOf(drain), deadlineAtRisk, false);
    }

    /**
     * Returns whether a VM is being drained, or has been drained, of long-running tasks. Such a VM
     * stays drained until it is maintained: a task that was stopped on it may wait for another VM,
     * and would return to this one.
     */
    private static boolean isDrainedOfLongRunningTasks(VmView view, Fleet fleet) {
        return fleet.draining().contains(view.vm().name()) && view.load().finiteRuns() == 0;
    }

    /** Returns the first VMs with long-running tasks of each pool; draining takes no slot. */
    private static List<String> longRunningDrains(List<VmView> candidates) {
        Map<String, Integer> drainsByPool = new HashMap<>();
        List<String> drains = new ArrayList<>();
        for (VmView view : candidates) {
            if (view.load().longRunningRuns() > 0
                    && drainsByPool.merge(view.vm().pool(), 1, Integer::sum)
                            <= LONG_RUNNING_DRAINS_PER_POOL) {
                drains.add(view.vm().name());
            }
        }
        return drains;
    }

    /**
     * Returns whether the VM's pool can spare it now; for a standby VM, whether no pool is short.
     * An evacuated VM serves no pool, and can always be spared.
     */
    private static boolean canBeSpared(VmView view, Fleet fleet) {
        if (view.evacuated()) {
            return true;
        }
        if (fleet.standby().contains(view.vm().pool())) {
            return !fleet.isAnyPoolShort();
        }
        PoolLoad pool = fleet.pools().get(view.vm().pool());
        return pool == null
                || (!pool.isShortOfCapacity()
                        && pool.demandMilliCores()
                                <= pool.capacityMilliCores() * BUSY_CORE_SHARE
                                        - view.vm().capacity().milliCores());
    }

    private static Comparator<VmView> maintenanceOrder(Collection<String> draining) {
        return Comparator.comparing((VmView v) -> !v.load().isIdle())
                .thenComparing(v -> !v.load().known())
                .thenComparing(v -> !v.evacuated())
                .thenComparing(v -> !draining.contains(v.vm().name()))
                .thenComparing(v -> v.load().longRunningRuns())
                .thenComparing(v -> v.load().usedMilliCores())
                .thenComparing(v -> v.vm().name());
    }
}
