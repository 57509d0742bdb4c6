package org.chervillift.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;

/**
 * Chooses among the upstreams of the own data centre, and keeps the slots of this entry VM.
 *
 * <p>Two upstreams with room are drawn, and the one with less load for its slots is taken. Confined
 * to one thread.
 */
public final class Router {

    private static final Duration ROOM_MAY_COME = Duration.ofSeconds(1);
    private static final Duration WAKE_GAP = Duration.ofSeconds(2);
    private static final Duration LIST_WAIT = Duration.ofSeconds(3);
    private static final int DRAWS = 4;
    private static final double OTHERS_FINE = 0.3;

    private final RoutingSettings settings;
    private final String entryVm;
    private final String dataCentre;
    private final Map<String, Node> nodes = new HashMap<>();
    private final Map<String, List<Node>> pools = new HashMap<>();
    private Optional<Instant> lastTick = Optional.empty();
    private Instant wokeAt = Instant.MIN;
    private Instant awaitsListUntil = Instant.MIN;

    /** Creates a router that knows no upstream. */
    public Router(RoutingSettings settings, String entryVm, String dataCentre) {
        this.settings = Checks.notNull("settings", settings);
        this.entryVm = Checks.notBlank("entryVm", entryVm);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
    }

    /**
     * Takes over the upstreams and the entry VMs of the fleet.
     *
     * @param upstreams all upstreams; those of other data centres are left aside
     * @param entryVms all live entry VMs; this one counts as live also when it is missing
     * @param askedAt when the list was asked for; its answer may have waited through a pause
     */
    public void update(
            List<Upstream> upstreams, List<EntryVm> entryVms, Instant askedAt, Instant now) {
        if (!askedAt.isBefore(wokeAt) && isTicking(now)) {
            awaitsListUntil = Instant.MIN;
        }
        List<String> sharers = new ArrayList<>();
        sharers.add(entryVm);
        entryVms.stream()
                .filter(e -> e.dataCentre().equals(dataCentre))
                .map(EntryVm::id)
                .forEach(sharers::add);
        Map<String, Node> kept = new LinkedHashMap<>();
        boolean first = nodes.isEmpty();
        for (Upstream u : upstreams) {
            if (u.dataCentre().equals(dataCentre)) {
                kept.put(u.id(), updated(u, sharers, first, now));
            }
        }
        pools.clear();
        kept.values().forEach(this::addToPool);
        nodes.values().stream()
                .filter(n -> n.load(now) > 0)
                .filter(n -> !kept.containsKey(n.upstream().id()))
                .forEach(n -> kept.put(n.upstream().id(), n.withoutPart()));
        nodes.clear();
        nodes.putAll(kept);
    }

    private void addToPool(Node node) {
        pools.computeIfAbsent(node.upstream().pool(), p -> new ArrayList<>()).add(node);
    }

    /**
     * Notes that the process runs; called at least once a second.
     *
     * <p>After a pause the list is old, and nothing starts until it was read again, or until it had
     * time enough to be read.
     */
    public void tick(Instant now) {
        if (!isTicking(now)) {
            awaitsListUntil = now.plus(LIST_WAIT);
            wokeAt = now;
        }
        lastTick = Optional.of(now);
    }

    private boolean isTicking(Instant now) {
        return lastTick.isEmpty() || !now.isAfter(lastTick.get().plus(WAKE_GAP));
    }

    private boolean isAwake(Instant now) {
        return isTicking(now) && !now.isBefore(awaitsListUntil);
    }

    private Node updated(Upstream u, List<String> sharers, boolean first, Instant now) {
        int part = SlotParts.part(u.id(), u.slots(), entryVm, sharers);
        Node known = nodes.get(u.id());
        if (known != null) {
            known.update(u, part, now);
            return known;
        }
        Node node = new Node(u, settings);
        if (first && sharers.stream().distinct().count() == 1) {
            node.startWith(part);
        } else {
            node.update(u, part, now);
        }
        return node;
    }

    /**
     * Chooses an upstream of a pool and takes one of its slots.
     *
     * @param pool the pool
     * @param tried upstreams that failed this request; they are chosen only if no other has room
     */
    public Choice choose(String pool, Set<String> tried, RandomGenerator random, Instant now) {
        List<Node> all = pools.getOrDefault(pool, List.of());
        if (all.isEmpty()) {
            return new Choice.NoUpstream();
        }
        if (!isAwake(now)) {
            return new Choice.NoRoom(ROOM_MAY_COME);
        }
        Node best = draw(all, tried, random, now);
        if (best == null) {
            best = search(all, tried, random, now);
        }
        if (best == null) {
            return anyTakesWork(all, now)
                    ? new Choice.NoRoom(ROOM_MAY_COME)
                    : new Choice.NoUpstream();
        }
        best.started();
        return new Choice.ToUpstream(best.upstream());
    }

    private static Node draw(
            List<Node> all, Set<String> tried, RandomGenerator random, Instant now) {
        Node best = null;
        int found = 0;
        for (int i = 0; i < DRAWS && found < 2; i++) {
            Node n = all.get(random.nextInt(all.size()));
            if (!n.hasRoom(now) || isSecondChoice(n, tried)) {
                continue;
            }
            found++;
            if (best == null || isLessLoaded(n, best, now)) {
                best = n;
            }
        }
        return best;
    }

    private static Node search(
            List<Node> all, Set<String> tried, RandomGenerator random, Instant now) {
        int start = random.nextInt(all.size());
        Node again = null;
        for (int i = 0; i < all.size(); i++) {
            Node n = all.get((start + i) % all.size());
            if (!n.hasRoom(now)) {
                continue;
            }
            if (!isSecondChoice(n, tried)) {
                return n;
            }
            again = n;
        }
        return again;
    }

    private static boolean isSecondChoice(Node n, Set<String> tried) {
        boolean trialDue = n.health().isTrialNext();
        return tried.contains(n.upstream().id()) || (n.health().isSuspect() && !trialDue);
    }

    private static boolean isLessLoaded(Node a, Node b, Instant now) {
        return (long) a.load(now) * b.slots(now) < (long) b.load(now) * a.slots(now);
    }

    private static boolean anyTakesWork(List<Node> all, Instant now) {
        return all.stream().anyMatch(n -> n.takesWork(now));
    }

    /** Returns whether an upstream may still get new work; asked again just before bytes leave. */
    public boolean mayStart(String upstream, Instant now) {
        Node n = nodes.get(upstream);
        return isAwake(now) && n != null && n.isListed() && !n.isLeaving(now);
    }

    /** Gives the slot of an attempt back and learns from its end. */
    public void ended(String upstream, AttemptEnd end, RandomGenerator random, Instant now) {
        Node n = nodes.get(upstream);
        if (n == null) {
            return;
        }
        n.ended();
        switch (end) {
            case AttemptEnd.Good g -> n.health().good();
            case AttemptEnd.ServerFailure f -> n.health().failed(areOthersFine(n), random, now);
            case AttemptEnd.Unreachable u -> n.health().unreachable(random, now);
            case AttemptEnd.Busy b -> n.saidBusy(now);
            case AttemptEnd.Leaving l -> n.saidLeaving(now);
            case AttemptEnd.Lost l -> {
                n.lost(l.slotUntil());
                n.health().failed(areOthersFine(n), random, now);
            }
            case AttemptEnd.Unused u -> n.health().unused();
        }
    }

    /** Takes in an upstream's own word that it is leaving. */
    public void saysLeaving(String upstream, Instant now) {
        Node n = nodes.get(upstream);
        if (n != null) {
            n.saidLeaving(now);
        }
    }

    /** Returns the slots of this entry VM in a pool, free or taken, at upstreams that take work. */
    public int slotsOf(String pool, Instant now) {
        return pools.getOrDefault(pool, List.of()).stream()
                .filter(n -> n.takesWork(now))
                .mapToInt(n -> n.slots(now))
                .sum();
    }

    /** Returns the free slots of this entry VM in a pool. */
    public int freeSlotsOf(String pool, Instant now) {
        return pools.getOrDefault(pool, List.of()).stream()
                .filter(n -> n.hasRoom(now))
                .mapToInt(n -> n.slots(now) - n.load(now))
                .sum();
    }

    private boolean areOthersFine(Node node) {
        int good = 0;
        int failed = 0;
        double failures = 0;
        List<Node> all = pools.getOrDefault(node.upstream().pool(), List.of());
        for (Node n : all) {
            if (n == node) {
                continue;
            }
            good += n.health().last() == Health.Last.GOOD ? 1 : 0;
            failed += n.health().last() == Health.Last.FAILED ? 1 : 0;
            failures += n.health().failures();
        }
        return good > failed && failures < OTHERS_FINE * (all.size() - 1);
    }
}
