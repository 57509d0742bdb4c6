package org.chervillift.core.tasks.vms;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;

/**
 * Decides which VMs of a wave are emptied and maintained now.
 *
 * <p>Answers a wave that comes while queues surge in turn: idle VMs go first, VMs of a pool that is
 * short of room wait as long as the time of the wave allows, and a VM is maintained once it runs
 * nothing.
 */
public final class FleetWavePlanner {

    /** The time that a VM usually needs to run empty, in milliseconds. */
    private static final long DRAIN_MILLIS = 1_500;

    /** A wave presses this long before its time would just be enough. */
    private static final long DEADLINE_MARGIN_MILLIS = 3_000;

    /** The part of a wave's time in which it should end when nothing goes wrong. */
    private static final double TARGET_TIME_SHARE = 0.7;

    /** A pool that uses more than this share needs all its VMs. */
    private static final double BUSY_CORE_SHARE = 0.9;

    private FleetWavePlanner() {}

    /**
     * How far a wave is.
     *
     * @param order the order
     * @param startedAt when it was first seen, in milliseconds
     * @param maintained the VMs whose maintenance has begun
     */
    public record Progress(WaveOrder order, long startedAt, Set<String> maintained) {
        public Progress {
            maintained = Set.copyOf(maintained);
        }

        private long deadline() {
            return startedAt + order.durationMillis();
        }
    }

    /**
     * What to do now.
     *
     * @param maintain the VMs to maintain
     * @param empty the VMs that take no new work until they are maintained
     * @param pressed whether running work may be stopped, so that the wave ends in time
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
     * The fleet around a wave.
     *
     * @param vms all VMs by name
     * @param pools the load of the pools by name
     * @param standby the pools whose VMs are off
     * @param gone the VMs that do not exist any more
     * @param emptying the VMs that are being emptied already
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

    /** Decides. */
    public static Decision decide(Progress wave, Fleet fleet, long now) {
        List<VmView> left = new ArrayList<>();
        int down = 0;
        for (String name : wave.order().vms()) {
            VmView view = fleet.vms().get(name);
            if (view == null) {
                // One that a list has left out may be down for its maintenance.
                down += fleet.gone().contains(name) ? 0 : 1;
                continue;
            }
            boolean maintained = wave.maintained().contains(name);
            if (!maintained) {
                left.add(view);
            }
            down += isDown(view) ? 1 : 0;
        }
        if (left.isEmpty()) {
            return new Decision(List.of(), List.of(), false, down == 0);
        }
        long perVm = fleet.maintenanceMillis() + DRAIN_MILLIS;
        long timeLeft = wave.deadline() - now;
        int cap = wave.order().cap();
        long needed = Math.ceilDiv(left.size(), cap) * perVm;
        boolean pressed = timeLeft <= needed + DEADLINE_MARGIN_MILLIS;
        int atOnce =
                pressed
                        ? cap
                        : Math.min(cap, requiredConcurrency(left.size() + down, perVm, timeLeft));
        if (!pressed && fleet.isAnyPoolShort()) {
            atOnce = Math.ceilDiv(atOnce, 2);
        }
        return chooseVms(left, fleet, atOnce - down, pressed);
    }

    /** Returns how many VMs must be down at once for the wave to end well before its time. */
    private static int requiredConcurrency(int count, long perVm, long timeLeft) {
        double usable = Math.max(1, timeLeft * TARGET_TIME_SHARE);
        return (int) Math.ceil(count * perVm / usable);
    }

    /** A VM counts as down from the order on until the list shows it up again. */
    private static boolean isDown(VmView view) {
        return view.vm().status() == Status.MAINTENANCE
                || view.pendingOrder() == PendingOrder.MAINTENANCE;
    }

    private static Decision chooseVms(List<VmView> left, Fleet fleet, int slots, boolean pressed) {
        List<VmView> line =
                left.stream()
                        .filter(VmView::isUpWithoutOrder)
                        .filter(v -> pressed || canBeSpared(v, fleet))
                        .sorted(maintenanceOrder(fleet.draining()))
                        .toList();
        List<String> maintain = new ArrayList<>();
        List<String> empty = new ArrayList<>();
        for (VmView view : line) {
            if (maintain.size() + empty.size() >= slots) {
                break;
            }
            (view.load().isIdle() ? maintain : empty).add(view.vm().name());
        }
        return new Decision(maintain, empty, pressed, false);
    }

    /** Returns whether a VM can be missed now, in its pool or, from standby, in any other. */
    private static boolean canBeSpared(VmView view, Fleet fleet) {
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

    private static Comparator<VmView> maintenanceOrder(Collection<String> emptying) {
        return Comparator.comparing((VmView v) -> !v.load().isIdle())
                .thenComparing(v -> !emptying.contains(v.vm().name()))
                .thenComparing(v -> v.load().longRunningRuns())
                .thenComparing(v -> v.load().usedMilliCores())
                .thenComparing(v -> v.vm().name());
    }
}
