package org.chervillift.core.tasks.vms;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.core.tasks.PoolLoad;

/**
 * Decides which VMs go to another pool.
 *
 * <p>Answers queues that surge in turn, each asking for more than its pool holds: VMs come from the
 * standby pools, then from pools that have more than they need. VMs that are down or cut off count
 * for nothing. A VM that its pool has had no use for of late goes to a standby pool, where it costs
 * nothing.
 */
public final class PoolPlanner {

    /** A VM that idles for this long costs about as much as moving it away and back. */
    private static final long IDLE_BEFORE_RETURN_MILLIS = 2_300;

    /** Tasks do not fill a VM to the last core. */
    private static final double USABLE_CORE_SHARE = 0.85;

    /** The part of its home size that a quiet pool keeps for the start of its next surge. */
    private static final double MIN_HOME_SIZE_SHARE = 0.34;

    /** A pool that had no use for a VM for this long lends it to one whose tasks wait. */
    private static final long IDLE_BEFORE_LENDING_MILLIS = 600;

    /** Tasks that wait this long need a VM more, however many cores seem free. */
    private static final long BLOCKED_AFTER_MILLIS = 1_000;

    /** The time over which what a pool is asked for is smoothed. */
    private static final double SMOOTHING_MILLIS = 1_000;

    private final Map<String, Integer> homeSizes;
    private final Map<String, Deque<DemandSample>> demandSamples = new HashMap<>();
    private final Map<String, SmoothedDemand> smoothedDemands = new HashMap<>();
    private final Set<String> poolsWithPastDemand = new HashSet<>();
    private final Map<String, Long> waitingSince = new HashMap<>();

    /**
     * A VM that goes to another pool.
     *
     * @param vm the VM
     * @param from the pool that it leaves
     * @param to the pool that it joins
     */
    public record Move(String vm, String from, String to) {}

    /**
     * Creates a planner.
     *
     * @param homeSizes how many VMs each pool has while nothing surges
     */
    public PoolPlanner(Map<String, Integer> homeSizes) {
        this.homeSizes = Map.copyOf(homeSizes);
    }

    /**
     * Decides.
     *
     * @param vms all VMs
     * @param loads the load of the pools by name
     * @param standby the pools whose VMs are off
     * @param mayMove whether a VM is free to go
     */
    public List<Move> decide(
            Collection<VmView> vms,
            Map<String, PoolLoad> loads,
            Set<String> standby,
            Predicate<VmView> mayMove,
            long now) {
        Map<String, List<VmView>> pools =
                vms.stream().collect(Collectors.groupingBy(v -> v.vm().pool()));
        Map<String, Integer> wanted = wantedSizes(loads, pools, now);
        standby.forEach(wanted::remove);
        PlanningRound round = new PlanningRound(vms, standby, mayMove, now);
        round.fillShortPools(wanted);
        round.returnIdleVms();
        return round.moves;
    }

    /** Returns how many VMs each pool with load could use now. */
    private Map<String, Integer> wantedSizes(
            Map<String, PoolLoad> loads, Map<String, List<VmView>> pools, long now) {
        Map<String, Integer> wanted = new HashMap<>();
        loads.forEach(
                (pool, load) -> {
                    double perVm = milliCoresPerVm(pools.getOrDefault(pool, List.of()), load);
                    double cores = forecastMilliCores(pool, load, now);
                    int count = (int) Math.ceil(cores / (perVm * USABLE_CORE_SHARE));
                    if (count > 0) {
                        poolsWithPastDemand.add(pool);
                    }
                    int size = pools.getOrDefault(pool, List.of()).size();
                    wanted.put(
                            pool,
                            isBlocked(pool, load, now)
                                    ? Math.max(count, onePlusSize(pool, size))
                                    : count);
                    recordDemand(pool, count, now);
                });
        return wanted;
    }

    /**
     * Returns whether tasks of a pool wait although it may have the cores for them: the workers
     * with room are being emptied, lack a label, or have as many tasks of the step as they may.
     */
    private boolean isBlocked(String pool, PoolLoad load, long now) {
        if (!load.isShortOfCapacity()) {
            waitingSince.remove(pool);
            return false;
        }
        return now - waitingSince.computeIfAbsent(pool, p -> now) >= BLOCKED_AFTER_MILLIS;
    }

    /** Returns a size with one VM more, up to one more than the home size. */
    private int onePlusSize(String pool, int size) {
        return Math.min(size, homeSizes.getOrDefault(pool, 0)) + 1;
    }

    /**
     * How many VMs a pool could use at a time.
     *
     * @param count how many
     * @param at when, in milliseconds
     */
    private record DemandSample(int count, long sampledAt) {}

    private void recordDemand(String pool, int count, long now) {
        Deque<DemandSample> line = demandSamples.computeIfAbsent(pool, p -> new ArrayDeque<>());
        while (!line.isEmpty() && line.peekLast().count() <= count) {
            line.pollLast();
        }
        line.add(new DemandSample(count, now));
        while (now - line.peekFirst().sampledAt() > IDLE_BEFORE_RETURN_MILLIS) {
            line.pollFirst();
        }
    }

    /** Returns the most VMs that a pool could use at any moment since a time. */
    private int maxDemandSince(String pool, long since) {
        return demandSamples.getOrDefault(pool, new ArrayDeque<>()).stream()
                .filter(w -> w.sampledAt() >= since)
                .mapToInt(DemandSample::count)
                .findFirst()
                .orElse(0);
    }

    /** Returns what a pool will be asked for when a VM that is ordered now has joined it. */
    private double forecastMilliCores(String pool, PoolLoad load, long now) {
        double asked = Math.max(load.demandMilliCores(), load.arrivingMilliCores());
        SmoothedDemand before = smoothedDemands.getOrDefault(pool, new SmoothedDemand(asked, now));
        double weight = Math.exp(-(now - before.updatedAt()) / SMOOTHING_MILLIS);
        SmoothedDemand trend =
                new SmoothedDemand(before.milliCores() * weight + asked * (1 - weight), now);
        smoothedDemands.put(pool, trend);
        return asked + Math.max(0, asked - trend.milliCores());
    }

    /**
     * What a pool was asked for, smoothed.
     *
     * @param slow the smoothed value
     * @param at when it was last taken, in milliseconds
     */
    private record SmoothedDemand(double milliCores, long updatedAt) {}

    private static double milliCoresPerVm(List<VmView> pool, PoolLoad load) {
        return pool.stream()
                .mapToLong(v -> v.vm().capacity().milliCores())
                .filter(c -> c > 0)
                .average()
                .orElse(Math.max(1, load.demandMilliCores()));
    }

    /** Returns how many VMs a pool keeps while nothing is asked of it. */
    private int minSize(String pool, int size) {
        return (int) Math.ceil(homeSizes.getOrDefault(pool, size) * MIN_HOME_SIZE_SHARE);
    }

    /**
     * VMs of one pool that can run the same tasks.
     *
     * @param pool the pool
     * @param label the first label, which names the kind of machine
     * @param hasGpus whether they have GPUs
     */
    private record VmKind(String pool, String label, boolean hasGpus) {

        static VmKind of(VmView view) {
            List<String> labels = view.vm().labels();
            return new VmKind(
                    view.vm().pool(),
                    labels.isEmpty() ? "" : labels.getFirst(),
                    view.vm().capacity().gpus() > 0);
        }
    }

    /** One decision, with the sizes of the pools as they will be after the moves so far. */
    private final class PlanningRound {

        private final Map<String, Integer> sizes = new HashMap<>();
        private final Map<VmKind, Integer> countsByKind = new HashMap<>();
        private final Set<String> standby;
        private final List<VmView> movableVms;
        private final long now;
        private final List<Move> moves = new ArrayList<>();

        PlanningRound(
                Collection<VmView> vms, Set<String> standby, Predicate<VmView> mayMove, long now) {
            this.standby = standby;
            this.now = now;
            List<VmView> useful = vms.stream().filter(v -> !v.isUnavailable()).toList();
            for (VmView view : useful) {
                sizes.merge(view.vm().pool(), 1, Integer::sum);
                countsByKind.merge(VmKind.of(view), 1, Integer::sum);
            }
            this.movableVms =
                    useful.stream()
                            .filter(
                                    v ->
                                            v.isUpWithoutOrder()
                                                    && v.load().isIdle()
                                                    && mayMove.test(v))
                            .collect(Collectors.toCollection(ArrayList::new));
        }

        /** Moves VMs to the pools that are short, the shortest first. */
        void fillShortPools(Map<String, Integer> wanted) {
            List<String> shortPools =
                    wanted.keySet().stream()
                            .sorted(Comparator.comparingInt(p -> sizeOf(p) - wanted.get(p)))
                            .toList();
            for (String pool : shortPools) {
                while (sizeOf(pool) < wanted.get(pool)) {
                    VmView donor = findDonor(pool);
                    if (donor == null) {
                        break;
                    }
                    move(donor, pool);
                }
            }
        }

        private VmView findDonor(String taker) {
            long since = now - IDLE_BEFORE_LENDING_MILLIS;
            return movableVms.stream()
                    .filter(v -> !v.vm().pool().equals(taker))
                    .filter(v -> isStandby(v) || canBeSpared(v, since))
                    .min(
                            Comparator.comparing((VmView v) -> !isStandby(v))
                                    .thenComparing(v -> maxDemandSince(v.vm().pool(), since)))
                    .orElse(null);
        }

        private boolean isStandby(VmView view) {
            return standby.contains(view.vm().pool());
        }

        /**
         * Returns whether a pool has more than it keeps, and than it could use since a time.
         *
         * <p>The last VM of its kind stays, and so do all while a task waits.
         */
        private boolean canBeSpared(VmView view, long since) {
            String pool = view.vm().pool();
            int size = sizeOf(pool);
            boolean needed =
                    countsByKind.get(VmKind.of(view)) == 1 || waitingSince.containsKey(pool);
            return !needed && size > Math.max(maxDemandSince(pool, since) + 1, minSize(pool, size));
        }

        /** Sends what a pool has to spare to a pool that is too small, else to standby. */
        void returnIdleVms() {
            long since = now - IDLE_BEFORE_RETURN_MILLIS;
            for (VmView view : List.copyOf(movableVms)) {
                String pool = view.vm().pool();
                if (!isStandby(view)
                        && poolsWithPastDemand.contains(pool)
                        && canBeSpared(view, since)) {
                    homeSizes.keySet().stream()
                            .filter(p -> !p.equals(pool) && acceptsIdleVm(p, pool))
                            .min(
                                    Comparator.comparing((String p) -> standby.contains(p))
                                            .thenComparingInt(p -> -shortfall(p))
                                            .thenComparing(Comparator.naturalOrder()))
                            .ifPresent(p -> move(view, p));
                }
            }
        }

        /** Returns whether a pool takes an idle VM; without standby, VMs go home. */
        private boolean acceptsIdleVm(String pool, String giver) {
            boolean goesHome = standby.isEmpty() && shortfall(giver) < 0 && shortfall(pool) > 0;
            return standby.contains(pool) || sizeOf(pool) < minSize(pool, 0) || goesHome;
        }

        private int sizeOf(String pool) {
            return sizes.getOrDefault(pool, 0);
        }

        private int shortfall(String pool) {
            return homeSizes.getOrDefault(pool, 0) - sizeOf(pool);
        }

        private void move(VmView view, String to) {
            String from = view.vm().pool();
            moves.add(new Move(view.vm().name(), from, to));
            sizes.merge(from, -1, Integer::sum);
            sizes.merge(to, 1, Integer::sum);
            countsByKind.merge(VmKind.of(view), -1, Integer::sum);
            movableVms.remove(view);
        }
    }
}
