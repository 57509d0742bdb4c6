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
 * Chooses among the upstreams of the same data centre and tracks the slots of this entry VM.
 *
 * <p>Of two random upstreams with a free slot, the one with the lower load per slot is chosen. Not
 * thread-safe.
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

    /** Creates a router without upstreams. */
    public Router(RoutingSettings settings, String entryVm, String dataCentre) {
        this.settings = Checks.notNull("settings", settings);
        this.entryVm = Checks.notBlank("entryVm", entryVm);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
    }

    /**
     * Replaces the known upstreams and entry VMs of the fleet.
     *
     * @param upstreams all upstreams; those of other data centres are ignored
     * @param entryVms all live entry VMs; this one counts as live even if it is missing
     * @param requestedAt when the list was requested; the answer may be old if the process paused
     */
    public void update(
            List<Upstream> upstreams, List<EntryVm> entryVms, Instant requestedAt, Instant now) {
        if (!requestedAt.isBefore(resumedAt) && isTicking(now)) {
            waitForListUntil = Instant.MIN;
        }
        List<String> localEntryVms = new ArrayList<>();
        localEntryVms.add(entryVm);
        entryVms.stream()
                .filter(e -> e.dataCentre().equals(dataCentre))
                .map(EntryVm::id)
                .forEach(localEntryVms::add);
        Map<String, UpstreamState> updatedById = new LinkedHashMap<>();
        boolean isFirstUpdate = upstreamsById.isEmpty();
        for (Upstream u : upstreams) {
            if (u.dataCentre().equals(dataCentre)) {
                updatedById.put(u.id(), updateOrCreate(u, localEntryVms, isFirstUpdate, now));
            }
        }
        upstreamsByPool.clear();
        updatedById.values().forEach(this::addToPool);
        upstreamsById.values().stream()
                .filter(s -> s.slotsTaken(now) > 0)
                .filter(s -> !updatedById.containsKey(s.upstream().id()))
                .forEach(s -> updatedById.put(s.upstream().id(), s.delisted()));
        upstreamsById.clear();
        upstreamsById.putAll(updatedById);
    }

    private void addToPool(UpstreamState state) {
        upstreamsByPool.computeIfAbsent(state.upstream().pool(), p -> new ArrayList<>()).add(state);
    }

    /**
     * Detects pauses of the process; to be called at least once a second.
     *
     * <p>After a pause the known list is old, and no request starts until the list was read again
     * or the longest wait for it has passed.
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
            Upstream u, List<String> localEntryVms, boolean isFirstUpdate, Instant now) {
        int share = SlotShares.share(u.id(), u.slots(), entryVm, localEntryVms);
        UpstreamState known = upstreamsById.get(u.id());
        if (known != null) {
            known.update(u, share, now);
            return known;
        }
        UpstreamState state = new UpstreamState(u, settings);
        if (isFirstUpdate && localEntryVms.stream().distinct().count() == 1) {
            state.setInitialShare(share);
        } else {
            state.update(u, share, now);
        }
        return state;
    }

    /**
     * Chooses an upstream of a pool and takes one of its slots.
     *
     * @param pool the pool
     * @param tried upstreams that failed for this request; they are chosen only if no other has a
     *     free slot
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
            UpstreamState s = all.get(random.nextInt(all.size()));
            if (!s.hasFreeSlot(now) || isLastResort(s, tried)) {
                continue;
            }
            found++;
            if (best == null || isLessLoaded(s, best, now)) {
                best = s;
            }
        }
        return best;
    }

    private static UpstreamState findAny(
            List<UpstreamState> all, Set<String> tried, RandomGenerator random, Instant now) {
        int start = random.nextInt(all.size());
        UpstreamState lastResort = null;
        for (int i = 0; i < all.size(); i++) {
            UpstreamState s = all.get((start + i) % all.size());
            if (!s.hasFreeSlot(now)) {
                continue;
            }
            if (!isLastResort(s, tried)) {
                return s;
            }
            lastResort = s;
        }
        return lastResort;
    }

    private static boolean isLastResort(UpstreamState s, Set<String> tried) {
        boolean isTrialDue = s.health().isTrialNext();
        return tried.contains(s.upstream().id()) || (s.health().isSuspect() && !isTrialDue);
    }

    private static boolean isLessLoaded(UpstreamState a, UpstreamState b, Instant now) {
        return (long) a.slotsTaken(now) * b.slots(now) < (long) b.slotsTaken(now) * a.slots(now);
    }

    private static boolean anyAcceptsRequests(List<UpstreamState> all, Instant now) {
        return all.stream().anyMatch(s -> s.acceptsRequests(now));
    }

    /**
     * Returns whether an upstream may get a new request; to be called again just before the send.
     */
    public boolean mayStart(String upstream, Instant now) {
        UpstreamState s = upstreamsById.get(upstream);
        return isListTrusted(now) && s != null && s.isListed() && !s.isLeaving(now);
    }

    /** Releases the slot of an attempt and records its result. */
    public void attemptEnded(
            String upstream, UpstreamResult result, RandomGenerator random, Instant now) {
        UpstreamState s = upstreamsById.get(upstream);
        if (s == null) {
            return;
        }
        s.requestEnded();
        switch (result) {
            case UpstreamResult.Succeeded ok -> s.health().requestSucceeded();
            case UpstreamResult.ServerFailure f ->
                    s.health().requestFailed(areOthersHealthy(s), random, now);
            case UpstreamResult.Unreachable u -> s.health().unreachable(random, now);
            case UpstreamResult.Busy b -> s.markBusy(now);
            case UpstreamResult.Leaving l -> s.markLeaving(now);
            case UpstreamResult.ResponseLost l -> {
                s.responseLost(l.slotUntil());
                s.health().requestFailed(areOthersHealthy(s), random, now);
            }
            case UpstreamResult.NotSent n -> s.health().requestNotRun();
        }
    }

    /** Records an upstream's own report that it is leaving. */
    public void markLeaving(String upstream, Instant now) {
        UpstreamState s = upstreamsById.get(upstream);
        if (s != null) {
            s.markLeaving(now);
        }
    }

    /**
     * Returns the slots of this entry VM in a pool, free or in use, at upstreams that accept
     * requests.
     */
    public int slotsInPool(String pool, Instant now) {
        return upstreamsByPool.getOrDefault(pool, List.of()).stream()
                .filter(s -> s.acceptsRequests(now))
                .mapToInt(s -> s.slots(now))
                .sum();
    }

    /** Returns the free slots of this entry VM in a pool. */
    public int freeSlotsInPool(String pool, Instant now) {
        return upstreamsByPool.getOrDefault(pool, List.of()).stream()
                .filter(s -> s.hasFreeSlot(now))
                .mapToInt(s -> s.slots(now) - s.slotsTaken(now))
                .sum();
    }

    private boolean areOthersHealthy(UpstreamState state) {
        int succeeded = 0;
        int failed = 0;
        double failureRateSum = 0;
        List<UpstreamState> all = upstreamsByPool.getOrDefault(state.upstream().pool(), List.of());
        for (UpstreamState s : all) {
            if (s == state) {
                continue;
            }
            succeeded += s.health().lastResult() == UpstreamHealth.LastResult.SUCCEEDED ? 1 : 0;
            failed += s.health().lastResult() == UpstreamHealth.LastResult.FAILED ? 1 : 0;
            failureRateSum += s.health().failureRate();
        }
        return succeeded > failed && failureRateSum < MAX_PEER_FAILURE_RATE * (all.size() - 1);
    }
}
