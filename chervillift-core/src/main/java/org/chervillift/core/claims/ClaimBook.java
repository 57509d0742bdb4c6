package org.chervillift.core.claims;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.core.claims.ClaimAction.End;
import org.chervillift.core.claims.ClaimGroup.Ask;
import org.chervillift.core.claims.ClaimGroup.Phase;

/**
 * Collects the claims of one entry VM into few transactions and follows each to a certain end.
 *
 * <p>A transaction without an answer is sent again with the same token until its outcome is known,
 * so a lost reply never leaves a doubt about who holds a claim. Confined to one thread.
 */
public final class ClaimBook {

    private static final Duration ASK_AGAIN = Duration.ofSeconds(1);
    private static final Duration SWEEP = Duration.ofMillis(5);
    private static final int FAILURES_OF_A_STALL = 2;

    private final ClaimSettings settings;
    private final String entryVm;
    private final Deque<Ask> waiting = new ArrayDeque<>();
    private final Deque<End> ends = new ArrayDeque<>();
    private final Map<ClaimKey, Ask> open = new HashMap<>();
    private final Map<Long, ClaimGroup> groups = new LinkedHashMap<>();
    private int liveEntryVms = 1;
    private int failuresInARow;
    private long nextGroup = 1;
    private Instant nextCommit = Instant.MIN;
    private Instant nextSweep = Instant.MIN;
    private boolean endsLast;

    /** Creates an empty book. */
    public ClaimBook(ClaimSettings settings, String entryVm) {
        this.settings = Checks.notNull("settings", settings);
        this.entryVm = Checks.notBlank("entryVm", entryVm);
    }

    /** Takes over how many entry VMs of the fleet share the rate of transactions. */
    public void setLiveEntryVms(int count) {
        liveEntryVms = Math.max(1, count);
    }

    /** Returns whether nothing waits and no transaction is without an answer. */
    public boolean isIdle() {
        return waiting.isEmpty() && ends.isEmpty() && groups.isEmpty();
    }

    /** Returns how many requests wait for their claim. */
    public int waitingCount() {
        return open.size();
    }

    /**
     * Asks for a claim.
     *
     * @param ticket the number that the answer carries
     * @param answerBy when the request stops waiting and is told {@link ClaimAnswer.Unavailable}
     */
    public List<ClaimAction> ask(
            long ticket, ClaimKey key, String digest, Instant answerBy, Instant now) {
        Ask known = open.get(key);
        if (known != null) {
            return List.of(tell(ticket, answerOfKnown(known, digest)));
        }
        if (open.size() >= settings.mostWaiting() || failuresInARow >= FAILURES_OF_A_STALL) {
            return List.of(tell(ticket, new ClaimAnswer.Unavailable()));
        }
        Ask ask = new Ask(ticket, new Claim(key, digest, entryVm, now), answerBy);
        open.put(key, ask);
        waiting.add(ask);
        return tick(now);
    }

    /**
     * Records the end of a claimed request.
     *
     * @param outcome the outcome to keep, or empty to give the claim back
     */
    public List<ClaimAction> end(Claim claim, Optional<Outcome> outcome, Instant now) {
        ends.add(new End(claim, outcome));
        return tick(now);
    }

    /** Takes in that the transaction of a group took effect. */
    public List<ClaimAction> committed(long group, Instant now) {
        ClaimGroup g = settle(group);
        if (g == null) {
            return List.of();
        }
        List<ClaimAction> actions = new ArrayList<>();
        for (Ask ask : g.asks()) {
            if (ask.isAbandoned() || now.isAfter(ask.answerBy())) {
                abandonAsk(ask, actions);
                ends.add(new End(ask.claim(), Optional.empty()));
            } else {
                close(ask);
                actions.add(
                        new ClaimAction.Tell(
                                ask.ticket(), new ClaimAnswer.Granted(), Optional.of(ask.claim())));
            }
        }
        actions.addAll(tick(now));
        return actions;
    }

    /** Takes in that the transaction of a group wrote nothing, since a row existed. */
    public List<ClaimAction> conflict(long group, Instant now) {
        ClaimGroup g = groups.get(group);
        if (g == null) {
            return List.of();
        }
        failuresInARow = 0;
        g.startReading();
        return List.of(new ClaimAction.ReadClaims(group, g.claims()));
    }

    /** Takes in what the table service has for a group that met a conflict. */
    public List<ClaimAction> read(long group, Collection<StoredClaim> found, Instant now) {
        ClaimGroup g = settle(group);
        if (g == null) {
            return List.of();
        }
        Map<ClaimKey, StoredClaim> byKey =
                found.stream()
                        .collect(
                                Collectors.toMap(
                                        s -> s.claim().key(), Function.identity(), (a, b) -> a));
        List<ClaimAction> actions = new ArrayList<>();
        for (Ask ask : g.asks()) {
            StoredClaim stored = byKey.get(ask.claim().key());
            if (ask.isAbandoned()) {
                close(ask);
            } else if (stored == null) {
                waiting.addFirst(ask);
            } else {
                close(ask);
                actions.add(tell(ask.ticket(), answerOfStored(stored, ask, now)));
            }
        }
        actions.addAll(tick(now));
        return actions;
    }

    /** Takes in that a transaction or a read of a group had no answer. */
    public List<ClaimAction> failed(long group, Instant now) {
        ClaimGroup g = groups.get(group);
        if (g == null) {
            return List.of();
        }
        failuresInARow++;
        g.resendAt(now.plus(settings.resendDelay()));
        return tick(now);
    }

    /** Lets time pass: answers requests that waited too long, and sends what is due. */
    public List<ClaimAction> tick(Instant now) {
        List<ClaimAction> actions = new ArrayList<>();
        dropExpired(actions, now);
        while (!now.isBefore(nextCommit)) {
            Optional<ClaimAction> commit = nextSend(now);
            if (commit.isEmpty()) {
                break;
            }
            actions.add(commit.get());
            nextCommit = now.plus(settings.commitInterval(liveEntryVms));
        }
        return actions;
    }

    private Optional<ClaimAction> nextSend(Instant now) {
        for (ClaimGroup g : groups.values()) {
            if (g.isDue(now)) {
                g.sent();
                return Optional.of(g.action());
            }
        }
        if (groups.size() >= settings.mostInFlight()) {
            return Optional.empty();
        }
        boolean endsNow = !ends.isEmpty() && (waiting.isEmpty() || !endsLast);
        endsLast = endsNow;
        if (endsNow) {
            return Optional.of(open(ClaimGroup.ofEnds(nextGroup++, take(ends), now)));
        }
        if (!waiting.isEmpty()) {
            return Optional.of(open(ClaimGroup.ofAsks(nextGroup++, take(waiting), now)));
        }
        return Optional.empty();
    }

    private ClaimAction open(ClaimGroup group) {
        groups.put(group.number(), group);
        return group.action();
    }

    private <T> List<T> take(Deque<T> queue) {
        List<T> taken = new ArrayList<>();
        while (!queue.isEmpty() && taken.size() < settings.mostInGroup()) {
            taken.add(queue.poll());
        }
        return taken;
    }

    private void dropExpired(List<ClaimAction> actions, Instant now) {
        if (now.isBefore(nextSweep)) {
            return;
        }
        nextSweep = now.plus(SWEEP);
        dropExpiredAsks(actions, now);
        dropExpiredGroups(actions, now);
    }

    private void dropExpiredAsks(List<ClaimAction> actions, Instant now) {
        Iterator<Ask> it = waiting.iterator();
        while (it.hasNext()) {
            Ask ask = it.next();
            if (now.isAfter(ask.answerBy())) {
                it.remove();
                abandonAsk(ask, actions);
            }
        }
    }

    private void dropExpiredGroups(List<ClaimAction> actions, Instant now) {
        Iterator<ClaimGroup> gs = groups.values().iterator();
        while (gs.hasNext()) {
            ClaimGroup g = gs.next();
            g.asks().stream()
                    .filter(a -> !a.isAbandoned() && now.isAfter(a.answerBy()))
                    .forEach(a -> abandonInGroup(a, actions));
            if (g.phase() == Phase.RESEND && now.isAfter(g.at().plus(settings.longestRun()))) {
                g.asks().forEach(this::close);
                gs.remove();
            }
        }
    }

    /** The claim may be in effect: the key stays open until the outcome is known. */
    private void abandonInGroup(Ask ask, List<ClaimAction> actions) {
        ask.abandon();
        actions.add(tell(ask.ticket(), new ClaimAnswer.Unavailable()));
    }

    private void abandonAsk(Ask ask, List<ClaimAction> actions) {
        close(ask);
        if (!ask.isAbandoned()) {
            abandonInGroup(ask, actions);
        }
    }

    private void close(Ask ask) {
        open.remove(ask.claim().key(), ask);
    }

    private ClaimGroup settle(long group) {
        ClaimGroup g = groups.remove(group);
        if (g != null) {
            failuresInARow = 0;
        }
        return g;
    }

    private static ClaimAnswer answerOfKnown(Ask known, String digest) {
        return known.claim().digest().equals(digest)
                ? new ClaimAnswer.Unended(Optional.of(ASK_AGAIN))
                : new ClaimAnswer.OtherContent();
    }

    private ClaimAnswer answerOfStored(StoredClaim stored, Ask ask, Instant now) {
        if (!stored.claim().digest().equals(ask.claim().digest())) {
            return new ClaimAnswer.OtherContent();
        }
        if (stored.outcome().isPresent()) {
            return new ClaimAnswer.Ended(stored.outcome().get());
        }
        Instant lost = stored.claim().at().plus(settings.longestRun());
        return new ClaimAnswer.Unended(
                now.isBefore(lost) ? Optional.of(ASK_AGAIN) : Optional.empty());
    }

    private static ClaimAction.Tell tell(long ticket, ClaimAnswer answer) {
        return new ClaimAction.Tell(ticket, answer, Optional.empty());
    }
}
