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
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.PoolLoad;

/**
 * Decides which VMs move to another pool.
 *
 * <p>Queues may surge in turn, each exceeding the capacity of its pool. A short pool gets VMs from
 * the standby pools first, then from pools that have more than they need. VMs that are down,
 * unreachable or evacuated do not count as capacity. A VM that its pool has not needed recently
 * moves to a standby pool, where it costs nothing.
 */
public final class PoolPlanner {

    /** The share of a VM's cores that tasks can use in practice. */
    private static final double USABLE_CORE_SHARE = 0.85;

    /** A pool whose tasks wait this long gets one more VM, even if it seems to have free cores. */
    private static final long BLOCKED_AFTER_MILLIS = 1_000;

    /** The time constant for smoothing the demand of a pool. */
    private static final double SMOOTHING_MILLIS = 1_000;

    private final Map<String, Integer> homeSizes;
    private final PoolSettings settings;
    private final SurgeForecast surges;
    private final Map<String, Deque<DemandSample>> demandSamples = new HashMap<>();
    private final Map<String, SmoothedDemand> smoothedDemands = new HashMap<>();
    private final Set<String> poolsWithPastDemand = new HashSet<>();
    private final Map<String, Long> waitingSince = new HashMap<>();

    /**
     * The move of a VM to another pool.
     *
     * @param vm the VM's name
     * @param from the pool that it leaves
     * @param to the pool that it joins
     */
    public record Move(String vm, String from, String to) {}

    /**
     * Creates a planner.
     *
     * @param homeSizes the number of VMs of each pool while there is no surge
     * @param surges forecasts the surges of the pools
     */
    public PoolPlanner(
            Map<String, Integer> homeSizes, PoolSettings settings, SurgeForecast surges) {
        this.homeSizes = Map.copyOf(homeSizes);
        this.settings = Checks.notNull("settings", settings);
        this.surges = Checks.notNull("surges", surges);
    }

    /**
     * Decides which VMs move now.
     *
     * @param vms all VMs
     * @param loads the load of the pools by name
     * @param standby the pools whose VMs are off
     * @param draining the names of the VMs that are drained for maintenance
     * @param mayOrder whether a VM may be ordered now
     */
    public List<Move> decide(
            Collection<VmView> vms,
            Map<String, PoolLoad> loads,
            Set<String> standby,
            Set<String> draining,
            Predicate<VmView> mayOrder,
            long now) {
        Map<String, List<VmView>> pools =
                vms.stream().collect(Collectors.groupingBy(v -> v.vm().pool()));
        Map<String, Integer> wanted = wantedSizes(loads, withoutEvacuated(pools), now);
        pools.forEach(
                (pool, members) ->
                        wanted.merge(pool, sizeWithReplacements(members, draining), Math::max));
        standby.forEach(wanted::remove);
        Predicate<VmView> mayMove = v -> !draining.contains(v.vm().name()) && mayOrder.test(v);
        PlanningRound round = new PlanningRound(vms, standby, mayMove, now);
        round.fillShortPools(wanted);
        round.returnIdleVms();
        return round.moves;
    }

    private static Map<String, List<VmView>> withoutEvacuated(Map<String, List<VmView>> pools) {
        Map<String, List<VmView>> others = new HashMap<>();
        pools.forEach(
                (pool, members) ->
                        others.put(pool, members.stream().filter(v -> !v.evacuated()).toList()));
        return others;
    }

    /** Returns how many VMs each pool could use now, for all pools with a load. */
    private Map<String, Integer> wantedSizes(
            Map<String, PoolLoad> loads, Map<String, List<VmView>> pools, long now) {
        Map<String, Integer> wanted = new HashMap<>();
        loads.forEach(
                (pool, load) -> {
                    double milliCoresPerVm =
                            milliCoresPerVm(pools.getOrDefault(pool, List.of()), load);
                    double neededMilliCores = forecastMilliCores(pool, load, now);
                    int count =
                            (int)
                                    Math.ceil(
                                            neededMilliCores
                                                    / (milliCoresPerVm * USABLE_CORE_SHARE));
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
     * Returns the size of a pool in which each VM that is drained of long-running tasks, or is
     * evacuated with some, has a replacement; 0 if there is no such VM. Tasks of a step may have to
     * run on different VMs, so a replacement is a VM without long-running tasks.
     */
    private static int sizeWithReplacements(List<VmView> pool, Set<String> draining) {
        List<VmView> withLongRunning =
                pool.stream().filter(v -> v.load().longRunningRuns() > 0).toList();
        long evacuated = withLongRunning.stream().filter(VmView::evacuated).count();
        long drained =
                withLongRunning.stream()
                        .filter(v -> !v.evacuated() && draining.contains(v.vm().name()))
                        .count();
        // An evacuated VM does not count towards the size of its pool, so it counts once here.
        return drained + evacuated == 0 ? 0 : Math.toIntExact(withLongRunning.size() + drained);
    }

    /**
     * Returns whether tasks of a pool have waited for long, although it may have enough free cores:
     * the workers with free cores may be draining, lack a required label, or have reached the limit
     * of tasks of the step.
     */
    private boolean isBlocked(String pool, PoolLoad load, long now) {
        if (!load.isShortOfCapacity()) {
            waitingSince.remove(pool);
            return false;
        }
        return now - waitingSince.computeIfAbsent(pool, p -> now) >= BLOCKED_AFTER_MILLIS;
    }

    /** Returns the size plus one, but at most the home size plus one. */
    private int onePlusSize(String pool, int size) {
        return Math.min(size, homeSizes.getOrDefault(pool, 0)) + 1;
    }

    /**
     * The demand of a pool at a time.
     *
     * @param count the number of VMs that the pool could use
     * @param sampledAt when the demand was sampled, in milliseconds
     */
    private record DemandSample(int count, long sampledAt) {}

    private void recordDemand(String pool, int count, long now) {
        Deque<DemandSample> samples = demandSamples.computeIfAbsent(pool, p -> new ArrayDeque<>());
        while (!samples.isEmpty() && samples.peekLast().count() <= count) {
            samples.pollLast();
        }
        samples.add(new DemandSample(count, now));
        while (now - samples.peekFirst().sampledAt() > settings.returnAfterMillis()) {
            samples.pollFirst();
        }
    }

    /** Returns the highest number of VMs that a pool could use at any time since a given one. */
    private int maxDemandSince(String pool, long since) {
        return demandSamples.getOrDefault(pool, new ArrayDeque<>()).stream()
                .filter(s -> s.sampledAt() >= since)
                .mapToInt(DemandSample::count)
                .findFirst()
                .orElse(0);
    }

    /** Returns the expected demand of a pool by the time that a VM ordered now has joined it. */
    private double forecastMilliCores(String pool, PoolLoad load, long now) {
        double demand = Math.max(load.demandMilliCores(), arrivingMilliCores(pool, load, now));
        SmoothedDemand previous =
                smoothedDemands.getOrDefault(pool, new SmoothedDemand(demand, now));
        double weight = Math.exp(-(now - previous.updatedAt()) / SMOOTHING_MILLIS);
        SmoothedDemand smoothed =
                new SmoothedDemand(previous.milliCores() * weight + demand * (1 - weight), now);
        smoothedDemands.put(pool, smoothed);
        return demand + Math.max(0, demand - smoothed.milliCores());
    }

    private long arrivingMilliCores(String pool, PoolLoad load, long now) {
        long arriving = load.arrivingMilliCores();
        return settings.forecastSurges()
                ? surges.update(pool, arriving, load.rising(), now)
                : arriving;
    }

    /**
     * The smoothed demand of a pool.
     *
     * @param milliCores the smoothed demand in thousandths of a core
     * @param updatedAt when it was last updated, in milliseconds
     */
    private record SmoothedDemand(double milliCores, long updatedAt) {}

    private static double milliCoresPerVm(List<VmView> pool, PoolLoad load) {
        return pool.stream()
                .mapToLong(v -> v.vm().capacity().milliCores())
                .filter(c -> c > 0)
                .average()
                .orElse(Math.max(1, load.demandMilliCores()));
    }

    /** Returns how many VMs a pool keeps while it has no demand. */
    private int minSize(String pool, int size) {
        return (int) Math.ceil(homeSizes.getOrDefault(pool, size) * settings.minHomeShare());
    }

    /**
     * The state of one round of decisions; the sizes of the pools include the moves decided so far.
     */
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
            List<VmView> available = vms.stream().filter(v -> !v.isUnavailable()).toList();
            for (VmView view : available) {
                sizes.merge(view.vm().pool(), 1, Integer::sum);
                countsByKind.merge(VmKind.of(view), 1, Integer::sum);
            }
            this.movableVms =
                    available.stream()
                            .filter(
                                    v ->
                                            v.isUpWithoutOrder()
                                                    && v.load().isIdle()
                                                    && mayMove.test(v))
                            .collect(Collectors.toCollection(ArrayList::new));
        }

        /** Moves VMs to the pools that are short, those with the largest shortfall first. */
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

        private VmView findDonor(String recipient) {
            long since = now - settings.lendAfterMillis();
            return movableVms.stream()
                    .filter(v -> !v.vm().pool().equals(recipient))
                    .filter(v -> isStandby(v) || canBeLent(v, since))
                    .min(
                            Comparator.comparing((VmView v) -> !isStandby(v))
                                    .thenComparing(v -> maxDemandSince(v.vm().pool(), since)))
                    .orElse(null);
        }

        private boolean isStandby(VmView view) {
            return standby.contains(view.vm().pool());
        }

        /**
         * Returns whether a VM that its pool has no use for may go to a pool that is short.
         *
         * <p>A task may wait for ever, such as for a label that no worker has. Its pool keeps one
         * VM more than its home size, and lends the others.
         */
        private boolean canBeLent(VmView view, long since) {
            String pool = view.vm().pool();
            return waitingSince.containsKey(pool)
                    ? hasMoreThanItCouldUse(view, since)
                            && sizeOf(pool) > homeSizes.getOrDefault(pool, 0) + 1
                    : canBeSpared(view, since);
        }

        /** Returns whether a pool in which no tasks wait has more VMs than it could use. */
        private boolean canBeSpared(VmView view, long since) {
            return !waitingSince.containsKey(view.vm().pool())
                    && hasMoreThanItCouldUse(view, since);
        }

        /**
         * Returns whether a pool has more VMs than its minimum and, with one to spare, more than it
         * could use at any time since a given one. The last VM of its kind stays.
         */
        private boolean hasMoreThanItCouldUse(VmView view, long since) {
            String pool = view.vm().pool();
            int size = sizeOf(pool);
            boolean lastOfItsKind = countsByKind.get(VmKind.of(view)) == 1;
            return !lastOfItsKind
                    && size > Math.max(maxDemandSince(pool, since) + 1, minSize(pool, size));
        }

        /** Moves VMs that a pool can spare to a pool below its minimum size, else to standby. */
        void returnIdleVms() {
            long since = now - settings.returnAfterMillis();
            for (VmView view : List.copyOf(movableVms)) {
                String pool = view.vm().pool();
                if (!isStandby(view)
                        && poolsWithPastDemand.contains(pool)
                        && canBeSpared(view, since)) {
                    homeSizes.keySet().stream()
                            .filter(p -> !p.equals(pool) && acceptsIdleVm(p, pool))
                            .min(
                                    Comparator.comparing((String p) -> standby.contains(p))
                                            .thenComparingInt(p -> -homeShortfall(p))
                                            .thenComparing(Comparator.naturalOrder()))
                            .ifPresent(p -> move(view, p));
                }
            }
        }

        /** Returns whether a pool accepts an idle VM; without standby pools, VMs return home. */
        private boolean acceptsIdleVm(String pool, String donorPool) {
            boolean returnsHome =
                    standby.isEmpty() && homeShortfall(donorPool) < 0 && homeShortfall(pool) > 0;
            return standby.contains(pool) || sizeOf(pool) < minSize(pool, 0) || returnsHome;
        }

        private int sizeOf(String pool) {
            return sizes.getOrDefault(pool, 0);
        }

        private int homeShortfall(String pool) {
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
