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

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(2);
    private static final Duration MAX_LIST_WAIT = Duration.ofSeconds(3);
    private static final int MAX_DRAWS = 4;
    private static final double MAX_PEER_FAILURE_RATE = 0.3;

    private final RoutingSettings settings;
    private final String entryVm;
    private final String dataCentre;
    private final Map<String, UpstreamState> upstreamsById = new HashMap<>();
    private final Map<String, List<UpstreamState>> upstreamsByPool = new HashMap<>();
    private Optional<Instant> lastTick = Optional.empty();
    private Instant resumedAt = Instant.MIN;
    private Instant waitForListUntil = Instant.MIN;

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
        if (!askedAt.isBefore(resumedAt) && isTicking(now)) {
            waitForListUntil = Instant.MIN;
        }
        List<String> sharers = new ArrayList<>();
        sharers.add(entryVm);
        entryVms.stream()
                .filter(e -> e.dataCentre().equals(dataCentre))
                .map(EntryVm::id)
                .forEach(sharers::add);
        Map<String, UpstreamState> kept = new LinkedHashMap<>();
        boolean first = upstreamsById.isEmpty();
        for (Upstream u : upstreams) {
            if (u.dataCentre().equals(dataCentre)) {
                kept.put(u.id(), updateOrCreate(u, sharers, first, now));
            }
        }
        upstreamsByPool.clear();
        kept.values().forEach(this::addToPool);
        upstreamsById.values().stream()
                .filter(n -> n.slotsTaken(now) > 0)
                .filter(n -> !kept.containsKey(n.upstream().id()))
                .forEach(n -> kept.put(n.upstream().id(), n.delisted()));
        upstreamsById.clear();
        upstreamsById.putAll(kept);
    }

    private void addToPool(UpstreamState node) {
        upstreamsByPool.computeIfAbsent(node.upstream().pool(), p -> new ArrayList<>()).add(node);
    }

    /**
     * Notes that the process runs; called at least once a second.
     *
     * <p>After a pause the list is old, and nothing starts until it was read again, or until it had
     * time enough to be read.
     */
    public void tick(Instant now) {
        if (!isTicking(now)) {
            waitForListUntil = now.plus(MAX_LIST_WAIT);
            resumedAt = now;
        }
        lastTick = Optional.of(now);
    }

    private boolean isTicking(Instant now) {
        return lastTick.isEmpty() || !now.isAfter(lastTick.get().plus(MAX_TICK_GAP));
    }

    private boolean isListTrusted(Instant now) {
        return isTicking(now) && !now.isBefore(waitForListUntil);
    }

    private UpstreamState updateOrCreate(
            Upstream u, List<String> sharers, boolean first, Instant now) {
        int part = SlotShares.share(u.id(), u.slots(), entryVm, sharers);
        UpstreamState known = upstreamsById.get(u.id());
        if (known != null) {
            known.update(u, part, now);
            return known;
        }
        UpstreamState node = new UpstreamState(u, settings);
        if (first && sharers.stream().distinct().count() == 1) {
            node.setInitialShare(part);
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
    public RoutingDecision choose(
            String pool, Set<String> tried, RandomGenerator random, Instant now) {
        List<UpstreamState> all = upstreamsByPool.getOrDefault(pool, List.of());
        if (all.isEmpty()) {
            return new RoutingDecision.NoUpstream();
        }
        if (!isListTrusted(now)) {
            return new RoutingDecision.NoRoom(RETRY_AFTER);
        }
        UpstreamState best = pickLessLoadedOfTwo(all, tried, random, now);
        if (best == null) {
            best = findAny(all, tried, random, now);
        }
        if (best == null) {
            return anyAcceptsRequests(all, now)
                    ? new RoutingDecision.NoRoom(RETRY_AFTER)
                    : new RoutingDecision.NoUpstream();
        }
        best.requestStarted();
        return new RoutingDecision.ToUpstream(best.upstream());
    }

    private static UpstreamState pickLessLoadedOfTwo(
            List<UpstreamState> all, Set<String> tried, RandomGenerator random, Instant now) {
        UpstreamState best = null;
        int found = 0;
        for (int i = 0; i < MAX_DRAWS && found < 2; i++) {
            UpstreamState n = all.get(random.nextInt(all.size()));
            if (!n.hasFreeSlot(now) || isLastResort(n, tried)) {
                continue;
            }
            found++;
            if (best == null || isLessLoaded(n, best, now)) {
                best = n;
            }
        }
        return best;
    }

    private static UpstreamState findAny(
            List<UpstreamState> all, Set<String> tried, RandomGenerator random, Instant now) {
        int start = random.nextInt(all.size());
        UpstreamState again = null;
        for (int i = 0; i < all.size(); i++) {
            UpstreamState n = all.get((start + i) % all.size());
            if (!n.hasFreeSlot(now)) {
                continue;
            }
            if (!isLastResort(n, tried)) {
                return n;
            }
            again = n;
        }
        return again;
    }

    private static boolean isLastResort(UpstreamState n, Set<String> tried) {
        boolean trialDue = n.health().isTrialNext();
        return tried.contains(n.upstream().id()) || (n.health().isSuspect() && !trialDue);
    }

    private static boolean isLessLoaded(UpstreamState a, UpstreamState b, Instant now) {
        return (long) a.slotsTaken(now) * b.slots(now) < (long) b.slotsTaken(now) * a.slots(now);
    }

    private static boolean anyAcceptsRequests(List<UpstreamState> all, Instant now) {
        return all.stream().anyMatch(n -> n.acceptsRequests(now));
    }

    /** Returns whether an upstream may still get new work; asked again just before bytes leave. */
    public boolean mayStart(String upstream, Instant now) {
        UpstreamState n = upstreamsById.get(upstream);
        return isListTrusted(now) && n != null && n.isListed() && !n.isLeaving(now);
    }

    /** Gives the slot of an attempt back and learns from its end. */
    public void attemptEnded(
            String upstream, UpstreamResult end, RandomGenerator random, Instant now) {
        UpstreamState n = upstreamsById.get(upstream);
        if (n == null) {
            return;
        }
        n.requestEnded();
        switch (end) {
            case UpstreamResult.Succeeded g -> n.health().requestSucceeded();
            case UpstreamResult.ServerFailure f ->
                    n.health().requestFailed(areOthersHealthy(n), random, now);
            case UpstreamResult.Unreachable u -> n.health().unreachable(random, now);
            case UpstreamResult.Busy b -> n.markBusy(now);
            case UpstreamResult.Leaving l -> n.markLeaving(now);
            case UpstreamResult.ResponseLost l -> {
                n.responseLost(l.slotUntil());
                n.health().requestFailed(areOthersHealthy(n), random, now);
            }
            case UpstreamResult.NotSent u -> n.health().requestNotRun();
        }
    }

    /** Takes in an upstream's own word that it is leaving. */
    public void markLeaving(String upstream, Instant now) {
        UpstreamState n = upstreamsById.get(upstream);
        if (n != null) {
            n.markLeaving(now);
        }
    }

    /** Returns the slots of this entry VM in a pool, free or taken, at upstreams that take work. */
    public int slotsInPool(String pool, Instant now) {
        return upstreamsByPool.getOrDefault(pool, List.of()).stream()
                .filter(n -> n.acceptsRequests(now))
                .mapToInt(n -> n.slots(now))
                .sum();
    }

    /** Returns the free slots of this entry VM in a pool. */
    public int freeSlotsInPool(String pool, Instant now) {
        return upstreamsByPool.getOrDefault(pool, List.of()).stream()
                .filter(n -> n.hasFreeSlot(now))
                .mapToInt(n -> n.slots(now) - n.slotsTaken(now))
                .sum();
    }

    private boolean areOthersHealthy(UpstreamState node) {
        int good = 0;
        int failed = 0;
        double failures = 0;
        List<UpstreamState> all = upstreamsByPool.getOrDefault(node.upstream().pool(), List.of());
        for (UpstreamState n : all) {
            if (n == node) {
                continue;
            }
            good += n.health().lastResult() == UpstreamHealth.LastResult.SUCCEEDED ? 1 : 0;
            failed += n.health().lastResult() == UpstreamHealth.LastResult.FAILED ? 1 : 0;
            failures += n.health().failureRate();
        }
        return good > failed && failures < MAX_PEER_FAILURE_RATE * (all.size() - 1);
    }
}
