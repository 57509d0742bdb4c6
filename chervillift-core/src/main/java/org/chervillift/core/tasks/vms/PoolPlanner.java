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
    private static final long HOLD_MILLIS = 2_300;

    /** Tasks do not fill a VM to the last core. */
    private static final double USABLE_SHARE = 0.85;

    /** The part of its home size that a quiet pool keeps for the start of its next surge. */
    private static final double KEPT_SHARE = 0.34;

    /** A pool that had no use for a VM for this long lends it to one whose tasks wait. */
    private static final long LEND_MILLIS = 600;

    /** Tasks that wait this long need a VM more, however many cores seem free. */
    private static final long BLOCKED_MILLIS = 1_000;

    /** The time over which what a pool is asked for is smoothed. */
    private static final double TREND_MILLIS = 1_000;

    private final Map<String, Integer> homeSizes;
    private final Map<String, Deque<Wish>> wishes = new HashMap<>();
    private final Map<String, Trend> trends = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
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
        Map<String, Integer> wanted = wanted(loads, pools, now);
        standby.forEach(wanted::remove);
        Round round = new Round(vms, standby, mayMove, now);
        round.help(wanted);
        round.giveBack();
        return round.moves;
    }

    /** Returns how many VMs each pool with load could use now. */
    private Map<String, Integer> wanted(
            Map<String, PoolLoad> loads, Map<String, List<VmView>> pools, long now) {
        Map<String, Integer> wanted = new HashMap<>();
        loads.forEach(
                (pool, load) -> {
                    double perVm = coresPerVm(pools.getOrDefault(pool, List.of()), load);
                    double cores = foreseen(pool, load, now);
                    int count = (int) Math.ceil(cores / (perVm * USABLE_SHARE));
                    if (count > 0) {
                        asked.add(pool);
                    }
                    int size = pools.getOrDefault(pool, List.of()).size();
                    wanted.put(
                            pool,
                            isBlocked(pool, load, now)
                                    ? Math.max(count, oneMore(pool, size))
                                    : count);
                    remember(pool, count, now);
                });
        return wanted;
    }

    /**
     * Returns whether tasks of a pool wait although it may have the cores for them: the workers
     * with room are being emptied, lack a label, or have as many tasks of the step as they may.
     */
    private boolean isBlocked(String pool, PoolLoad load, long now) {
        if (!load.isShort()) {
            waitingSince.remove(pool);
            return false;
        }
        return now - waitingSince.computeIfAbsent(pool, p -> now) >= BLOCKED_MILLIS;
    }

    /** Returns a size with one VM more, up to one more than the home size. */
    private int oneMore(String pool, int size) {
        return Math.min(size, homeSizes.getOrDefault(pool, 0)) + 1;
    }

    /**
     * How many VMs a pool could use at a time.
     *
     * @param count how many
     * @param at when, in milliseconds
     */
    private record Wish(int count, long at) {}

    private void remember(String pool, int count, long now) {
        Deque<Wish> line = wishes.computeIfAbsent(pool, p -> new ArrayDeque<>());
        while (!line.isEmpty() && line.peekLast().count() <= count) {
            line.pollLast();
        }
        line.add(new Wish(count, now));
        while (now - line.peekFirst().at() > HOLD_MILLIS) {
            line.pollFirst();
        }
    }

    /** Returns the most VMs that a pool could use at any moment since a time. */
    private int mostSince(String pool, long since) {
        return wishes.getOrDefault(pool, new ArrayDeque<>()).stream()
                .filter(w -> w.at() >= since)
                .mapToInt(Wish::count)
                .findFirst()
                .orElse(0);
    }

    /** Returns what a pool will be asked for when a VM that is ordered now has joined it. */
    private double foreseen(String pool, PoolLoad load, long now) {
        double asked = Math.max(load.askedMilliCores(), load.arrivingMilliCores());
        Trend before = trends.getOrDefault(pool, new Trend(asked, now));
        double weight = Math.exp(-(now - before.at()) / TREND_MILLIS);
        Trend trend = new Trend(before.slow() * weight + asked * (1 - weight), now);
        trends.put(pool, trend);
        return asked + Math.max(0, asked - trend.slow());
    }

    /**
     * What a pool was asked for, smoothed.
     *
     * @param slow the smoothed value
     * @param at when it was last taken, in milliseconds
     */
    private record Trend(double slow, long at) {}

    private static double coresPerVm(List<VmView> pool, PoolLoad load) {
        return pool.stream()
                .mapToLong(v -> v.vm().capacity().milliCores())
                .filter(c -> c > 0)
                .average()
                .orElse(Math.max(1, load.askedMilliCores()));
    }

    /** Returns how many VMs a pool keeps while nothing is asked of it. */
    private int kept(String pool, int size) {
        return (int) Math.ceil(homeSizes.getOrDefault(pool, size) * KEPT_SHARE);
    }

    /**
     * VMs of one pool that can run the same tasks.
     *
     * @param pool the pool
     * @param label the first label, which names the kind of machine
     * @param hasGpus whether they have GPUs
     */
    private record Kind(String pool, String label, boolean hasGpus) {

        static Kind of(VmView view) {
            List<String> labels = view.vm().labels();
            return new Kind(
                    view.vm().pool(),
                    labels.isEmpty() ? "" : labels.getFirst(),
                    view.vm().capacity().gpus() > 0);
        }
    }

    /** One decision, with the sizes of the pools as they will be after the moves so far. */
    private final class Round {

        private final Map<String, Integer> sizes = new HashMap<>();
        private final Map<Kind, Integer> kinds = new HashMap<>();
        private final Set<String> standby;
        private final List<VmView> free;
        private final long now;
        private final List<Move> moves = new ArrayList<>();

        Round(Collection<VmView> vms, Set<String> standby, Predicate<VmView> mayMove, long now) {
            this.standby = standby;
            this.now = now;
            List<VmView> useful = vms.stream().filter(v -> !v.isOut()).toList();
            for (VmView view : useful) {
                sizes.merge(view.vm().pool(), 1, Integer::sum);
                kinds.merge(Kind.of(view), 1, Integer::sum);
            }
            this.free =
                    useful.stream()
                            .filter(v -> v.isSteady() && v.load().isIdle() && mayMove.test(v))
                            .collect(Collectors.toCollection(ArrayList::new));
        }

        /** Moves VMs to the pools that are short, the shortest first. */
        void help(Map<String, Integer> wanted) {
            List<String> shortPools =
                    wanted.keySet().stream()
                            .sorted(Comparator.comparingInt(p -> sizeOf(p) - wanted.get(p)))
                            .toList();
            for (String pool : shortPools) {
                while (sizeOf(pool) < wanted.get(pool)) {
                    VmView donor = donor(pool);
                    if (donor == null) {
                        break;
                    }
                    move(donor, pool);
                }
            }
        }

        private VmView donor(String taker) {
            long since = now - LEND_MILLIS;
            return free.stream()
                    .filter(v -> !v.vm().pool().equals(taker))
                    .filter(v -> isOff(v) || canLeave(v, since))
                    .min(
                            Comparator.comparing((VmView v) -> !isOff(v))
                                    .thenComparing(v -> mostSince(v.vm().pool(), since)))
                    .orElse(null);
        }

        private boolean isOff(VmView view) {
            return standby.contains(view.vm().pool());
        }

        /**
         * Returns whether a pool has more than it keeps, and than it could use since a time.
         *
         * <p>The last VM of its kind stays, and so do all while a task waits.
         */
        private boolean canLeave(VmView view, long since) {
            String pool = view.vm().pool();
            int size = sizeOf(pool);
            boolean needed = kinds.get(Kind.of(view)) == 1 || waitingSince.containsKey(pool);
            return !needed && size > Math.max(mostSince(pool, since) + 1, kept(pool, size));
        }

        /** Sends what a pool has to spare to a pool that is too small, else to standby. */
        void giveBack() {
            long since = now - HOLD_MILLIS;
            for (VmView view : List.copyOf(free)) {
                String pool = view.vm().pool();
                if (!isOff(view) && asked.contains(pool) && canLeave(view, since)) {
                    homeSizes.keySet().stream()
                            .filter(p -> !p.equals(pool) && takes(p, pool))
                            .min(
                                    Comparator.comparing((String p) -> standby.contains(p))
                                            .thenComparingInt(p -> -missing(p))
                                            .thenComparing(Comparator.naturalOrder()))
                            .ifPresent(p -> move(view, p));
                }
            }
        }

        /** Returns whether a pool takes an idle VM; without standby, VMs go home. */
        private boolean takes(String pool, String giver) {
            boolean goesHome = standby.isEmpty() && missing(giver) < 0 && missing(pool) > 0;
            return standby.contains(pool) || sizeOf(pool) < kept(pool, 0) || goesHome;
        }

        private int sizeOf(String pool) {
            return sizes.getOrDefault(pool, 0);
        }

        private int missing(String pool) {
            return homeSizes.getOrDefault(pool, 0) - sizeOf(pool);
        }

        private void move(VmView view, String to) {
            String from = view.vm().pool();
            moves.add(new Move(view.vm().name(), from, to));
            sizes.merge(from, -1, Integer::sum);
            sizes.merge(to, 1, Integer::sum);
            kinds.merge(Kind.of(view), -1, Integer::sum);
            free.remove(view);
        }
    }
}
