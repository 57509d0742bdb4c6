package org.chervillift.core.keys;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyMembers;
import org.chervillift.api.config.PeerFreshness;

/**
 * Decides for one process whether its ring is fresh enough for keyed work.
 *
 * <p>The process takes keyed work while one of three things holds: its own read of the store is
 * recent; a peer that it hears may take keyed work with the same ring; or each process that may
 * answer a withdrawal has promised not to, for some seconds. A withdrawal is answered only when no
 * promise of the answering process is left.
 *
 * <p>Times come from the clock of this process, which starts from the wall clock and never goes
 * back. The class is for one thread.
 */
public final class KeyFreshness {

    private final FreshnessRules rules;
    private final String self;
    private final Instant startedAt;
    private final Vouchers vouchers;
    private final Map<String, Horizon> passedOn = new HashMap<>();
    private Horizon store = Horizon.NONE;
    private Instant lastContact = Instant.MIN;
    private Instant renewedAt = Instant.MIN;
    private Instant ownPromiseEnd = Instant.MIN;
    private Optional<Instant> knownSince = Optional.empty();
    private long ringVersion;
    private long joinedVersion;
    private int pendingWithdrawals;
    private boolean resigned;

    /** Creates the state of a process that has read nothing yet. */
    public KeyFreshness(String self, FreshnessRules rules, Instant startedAt) {
        this.self = Checks.notBlank("self", self);
        this.rules = Checks.notNull("rules", rules);
        this.startedAt = Checks.notNull("startedAt", startedAt);
        this.vouchers = new Vouchers(self, rules);
    }

    /** Whether this process may answer a withdrawal. */
    public sealed interface Readiness {}

    /**
     * It may, from a moment on.
     *
     * @param answerFrom when the last promise that could leave this process out has ended
     */
    public record Ready(Instant answerFrom) implements Readiness {}

    /**
     * It may not yet, as some members might not know it.
     *
     * @param members the members that have not confirmed it, empty if it has not joined itself
     */
    public record NotReady(List<String> members) implements Readiness {
        public NotReady {
            members = List.copyOf(members);
        }
    }

    /** Notes a read of ring and members, of one moment, from the store. */
    public void storeAnswered(Instant readStartedAt, long storeRingVersion, KeyMembers read) {
        if (readStartedAt.isAfter(lastContact)) {
            lastContact = readStartedAt;
            store = new Horizon(storeRingVersion, readStartedAt.plus(rules.lease()));
        }
        vouchers.read(read);
    }

    /** Notes that this process has joined the members in this life. */
    public void joined(KeyMembers written, Instant writeStartedAt) {
        joinedVersion = written.version();
        knownSince = Optional.empty();
        renewed(written, writeStartedAt);
    }

    /** Notes that this process has renewed its place among the members. */
    public void renewed(KeyMembers written, Instant writeStartedAt) {
        vouchers.read(written);
        renewedAt = Horizon.later(renewedAt, writeStartedAt);
    }

    /** Notes the ring that this process holds from now on. */
    public void ringAdopted(long version) {
        ringVersion = Math.max(ringVersion, version);
    }

    /**
     * Notes what a peer told.
     *
     * @param stampSentAt when this process sent the stamp that the times count from
     */
    public void heard(String peer, PeerFreshness told, Instant stampSentAt) {
        vouchers.hasSeen(peer, told.membersVersion());
        told.groups().forEach(g -> vouchers.groupHasSeen(g.dataCentre(), g.membersVersion()));
        if (told.ringVersion() > ringVersion) {
            return;
        }
        long ring = told.ringVersion();
        if (told.fresh().isPositive()) {
            Horizon horizon = new Horizon(ring, stampSentAt.plus(told.fresh()));
            passedOn.merge(peer, horizon, Horizon::latest);
        }
        if (told.resigned()) {
            vouchers.hasPromised(peer, new Horizon(ring, Instant.MAX));
        } else if (told.promise().isPresent()) {
            Instant end = stampSentAt.plus(told.promise().get()).plus(rules.lease());
            vouchers.hasPromised(peer, new Horizon(ring, end));
        }
        for (PeerFreshness.Group g : told.groups()) {
            if (g.vouched().isPositive()) {
                Horizon horizon = new Horizon(ring, stampSentAt.plus(g.vouched()));
                vouchers.groupHasPromised(g.dataCentre(), horizon);
            }
        }
    }

    /**
     * Returns what a peer is to be told, and keeps the promise that it holds.
     *
     * @param stampReceivedAt when this process received the latest stamp of that peer
     */
    public PeerFreshness tell(Instant stampReceivedAt, Instant now) {
        noteWhetherKnown(now);
        Optional<Duration> promise = Optional.empty();
        if (mayPromise(now)) {
            Instant end = now.plus(rules.promise());
            ownPromiseEnd = Horizon.later(ownPromiseEnd, end);
            promise = Optional.of(Duration.between(stampReceivedAt, end));
        }
        return new PeerFreshness(
                ringVersion,
                vouchers.members().version(),
                span(keyedUntil(), stampReceivedAt, now),
                promise,
                resigned,
                holdsPlace(now) ? groups(stampReceivedAt, now) : List.of());
    }

    /** Returns whether keyed work may be taken now. */
    public boolean takesKeyedWork(Instant now) {
        return keyedUntil().isAfter(now);
    }

    /** Returns the end of the time for which keyed work may be taken, as far as is known. */
    public Instant keyedUntil() {
        Instant until = store.under(ringVersion);
        for (Horizon h : passedOn.values()) {
            until = Horizon.later(until, h.under(ringVersion));
        }
        return Horizon.later(until, vouchedUntil());
    }

    /** Notes that an operator wants a withdrawal, so that no new promise is given. */
    public void withdrawalBegins() {
        pendingWithdrawals++;
    }

    /** Notes that a withdrawal was answered or failed. */
    public void withdrawalEnds() {
        pendingWithdrawals--;
    }

    /** Notes that this process stops and answers no withdrawal any more. */
    public void resign() {
        resigned = true;
    }

    /** Returns whether a withdrawal may be answered by this process, and from when on. */
    public Readiness withdrawalReadiness(Instant now) {
        if (!rules.vouching()) {
            return withoutVouching();
        }
        if (resigned || !isMember()) {
            return new NotReady(List.of());
        }
        noteWhetherKnown(now);
        if (knownSince.isEmpty()) {
            return new NotReady(vouchers.missing(joinedVersion, now));
        }
        // Promises that were given before all knew this process may still be relied on.
        Instant known = knownSince.get().plus(rules.promise());
        Instant started = startedAt.plus(rules.promise());
        return new Ready(Horizon.later(ownPromiseEnd, Horizon.later(known, started)));
    }

    /** Others may rely on promises even if this process gives none, and then it may not answer. */
    private Readiness withoutVouching() {
        List<String> others = List.copyOf(vouchers.members().members().keySet());
        return resigned || !others.isEmpty() ? new NotReady(others) : new Ready(startedAt);
    }

    private void noteWhetherKnown(Instant now) {
        if (knownSince.isEmpty() && isMember() && vouchers.missing(joinedVersion, now).isEmpty()) {
            knownSince = Optional.of(now);
        }
    }

    private boolean isMember() {
        KeyMembers.Member own = vouchers.members().members().get(self);
        return own != null && joinedVersion > 0 && own.joinedVersion() == joinedVersion;
    }

    private boolean holdsPlace(Instant now) {
        return rules.vouching()
                && !resigned
                && isMember()
                && !renewedAt.equals(Instant.MIN)
                && now.isBefore(renewedAt.plus(rules.longestVouching()));
    }

    private boolean mayPromise(Instant now) {
        return rules.vouching()
                && pendingWithdrawals == 0
                && (lastContact.equals(Instant.MIN)
                        || lastContact.plus(rules.contactLost()).isBefore(now));
    }

    private Instant vouchedUntil() {
        // Whoever joins after this process has left does not ask whether it knows him.
        boolean mayVouch = rules.vouching() && !resigned && isMember();
        if (!mayVouch || renewedAt.equals(Instant.MIN)) {
            return Instant.MIN;
        }
        Instant until = renewedAt.plus(rules.longestVouching());
        for (String dataCentre : vouchers.dataCentres()) {
            Instant promised = vouchers.promisedByAll(dataCentre, Instant.MAX, ringVersion);
            until = Horizon.earlier(until, promised);
        }
        return until;
    }

    private List<PeerFreshness.Group> groups(Instant stampReceivedAt, Instant now) {
        Instant own = ownPromiseUntil();
        List<PeerFreshness.Group> groups = new ArrayList<>();
        for (String dataCentre : vouchers.dataCentres()) {
            long seen = vouchers.seenByAll(dataCentre, vouchers.members().version(), now);
            Instant until = vouchers.promisedByAll(dataCentre, own, ringVersion);
            Duration vouched = span(until, stampReceivedAt, now);
            groups.add(new PeerFreshness.Group(dataCentre, seen, vouched));
        }
        return groups;
    }

    private Instant ownPromiseUntil() {
        return ownPromiseEnd.equals(Instant.MIN) ? Instant.MIN : ownPromiseEnd.plus(rules.lease());
    }

    /**
     * Returns the time from a stamp to an end that lies ahead, else zero.
     *
     * <p>What is passed on outlives the list of members that it rests on, so it never reaches
     * further than a promise of this moment would. A new member waits that long.
     */
    private Duration span(Instant end, Instant stampReceivedAt, Instant now) {
        Instant bounded = Horizon.earlier(end, now.plus(rules.promise()).plus(rules.lease()));
        return bounded.isAfter(now) ? Duration.between(stampReceivedAt, bounded) : Duration.ZERO;
    }
}
