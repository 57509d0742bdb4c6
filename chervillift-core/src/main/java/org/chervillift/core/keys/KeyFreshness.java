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
 * Decides for one process whether its key ring is fresh enough to accept keyed requests.
 *
 * <p>The process accepts keyed requests while one of three conditions holds: its own read of the
 * store is recent; a peer that it hears from may accept keyed requests with the same ring; or each
 * process that may acknowledge a withdrawal has promised not to do so for some seconds. A process
 * acknowledges a withdrawal only after all its own promises have ended.
 *
 * <p>Times come from the monotonic clock of this process, which starts at the wall-clock time. Not
 * thread-safe: used by one thread.
 */
public final class KeyFreshness {

    private final FreshnessRules rules;
    private final String self;
    private final Instant startedAt;
    private final MemberTracker memberTracker;
    private final Map<String, RingExpiry> expiryByPeer = new HashMap<>();
    private RingExpiry storeExpiry = RingExpiry.NONE;
    private Instant lastStoreContact = Instant.MIN;
    private Instant renewedAt = Instant.MIN;
    private Instant ownPromiseEndsAt = Instant.MIN;
    private Optional<Instant> knownToAllSince = Optional.empty();
    private long ringVersion;
    private long joinedVersion;
    private int pendingWithdrawals;
    private boolean resigned;

    /** Creates the state of a process that has read nothing yet. */
    public KeyFreshness(String self, FreshnessRules rules, Instant startedAt) {
        this.self = Checks.notBlank("self", self);
        this.rules = Checks.notNull("rules", rules);
        this.startedAt = Checks.notNull("startedAt", startedAt);
        this.memberTracker = new MemberTracker(self, rules);
    }

    /** Whether this process may acknowledge a withdrawal. */
    public sealed interface WithdrawalReadiness {}

    /**
     * This process may acknowledge a withdrawal from a given time on.
     *
     * @param acknowledgeFrom the end of the last promise that members may still rely on: those of
     *     this process, and those given before all members knew it
     */
    public record Ready(Instant acknowledgeFrom) implements WithdrawalReadiness {}

    /**
     * This process may not acknowledge a withdrawal yet, because some members might not know it.
     *
     * @param unconfirmedBy the members that have not confirmed that they know it; empty if it has
     *     not joined itself
     */
    public record NotReady(List<String> unconfirmedBy) implements WithdrawalReadiness {
        public NotReady {
            unconfirmedBy = List.copyOf(unconfirmedBy);
        }
    }

    /** Handles a consistent read of the ring version and the members from the store. */
    public void onStoreRead(Instant readStartedAt, long storeRingVersion, KeyMembers readMembers) {
        if (readStartedAt.isAfter(lastStoreContact)) {
            lastStoreContact = readStartedAt;
            storeExpiry = new RingExpiry(storeRingVersion, readStartedAt.plus(rules.readLease()));
        }
        memberTracker.updateMembers(readMembers);
    }

    /** Handles that this process has joined the members since it started. */
    public void onJoined(KeyMembers writtenMembers, Instant writeStartedAt) {
        joinedVersion = writtenMembers.version();
        knownToAllSince = Optional.empty();
        onRenewed(writtenMembers, writeStartedAt);
    }

    /** Handles that this process has renewed its membership. */
    public void onRenewed(KeyMembers writtenMembers, Instant writeStartedAt) {
        memberTracker.updateMembers(writtenMembers);
        renewedAt = RingExpiry.later(renewedAt, writeStartedAt);
    }

    /** Handles that this process holds a ring of this version from now on. */
    public void onRingAdopted(long version) {
        ringVersion = Math.max(ringVersion, version);
    }

    /**
     * Handles the freshness data that a peer sent.
     *
     * @param timestampSentAt when this process sent the timestamp that the peer's times count from
     */
    public void onPeerFreshness(String peer, PeerFreshness received, Instant timestampSentAt) {
        memberTracker.recordSeen(peer, received.membersVersion());
        received.groups()
                .forEach(
                        g ->
                                memberTracker.recordDataCentreSeen(
                                        g.dataCentre(), g.membersVersion()));
        if (received.ringVersion() > ringVersion) {
            return;
        }
        long peerRingVersion = received.ringVersion();
        if (received.fresh().isPositive()) {
            RingExpiry expiry =
                    new RingExpiry(peerRingVersion, timestampSentAt.plus(received.fresh()));
            expiryByPeer.merge(peer, expiry, RingExpiry::latest);
        }
        if (received.resigned()) {
            memberTracker.recordPromise(peer, new RingExpiry(peerRingVersion, Instant.MAX));
        } else if (received.promise().isPresent()) {
            Instant end = timestampSentAt.plus(received.promise().get()).plus(rules.readLease());
            memberTracker.recordPromise(peer, new RingExpiry(peerRingVersion, end));
        }
        for (PeerFreshness.Group g : received.groups()) {
            if (g.vouched().isPositive()) {
                RingExpiry expiry =
                        new RingExpiry(peerRingVersion, timestampSentAt.plus(g.vouched()));
                memberTracker.recordDataCentrePromise(g.dataCentre(), expiry);
            }
        }
    }

    /**
     * Returns the freshness data to send to a peer, and records the promise that it contains.
     *
     * @param timestampReceivedAt when this process received the latest timestamp of that peer
     */
    public PeerFreshness createPeerFreshness(Instant timestampReceivedAt, Instant now) {
        updateKnownToAll(now);
        Optional<Duration> promise = Optional.empty();
        if (mayPromise(now)) {
            Instant end = now.plus(rules.promiseDuration());
            ownPromiseEndsAt = RingExpiry.later(ownPromiseEndsAt, end);
            promise = Optional.of(Duration.between(timestampReceivedAt, end));
        }
        return new PeerFreshness(
                ringVersion,
                memberTracker.members().version(),
                remainingFrom(freshUntil(), timestampReceivedAt, now),
                promise,
                resigned,
                hasMembershipLease(now) ? dataCentreGroups(timestampReceivedAt, now) : List.of());
    }

    /** Returns whether keyed requests may be accepted now. */
    public boolean acceptsKeyedRequests(Instant now) {
        return freshUntil().isAfter(now);
    }

    /** Returns until when keyed requests may be accepted, as far as is known now. */
    public Instant freshUntil() {
        Instant until = storeExpiry.forHeldRing(ringVersion);
        for (RingExpiry expiry : expiryByPeer.values()) {
            until = RingExpiry.later(until, expiry.forHeldRing(ringVersion));
        }
        return RingExpiry.later(until, promisedUntil());
    }

    /**
     * Handles that an operator requested a withdrawal; no new promise is given until it finishes.
     */
    public void onWithdrawalStarted() {
        pendingWithdrawals++;
    }

    /** Handles that a withdrawal was acknowledged or has failed. */
    public void onWithdrawalFinished() {
        pendingWithdrawals--;
    }

    /** Marks this process as stopping; it acknowledges no withdrawal any more. */
    public void resign() {
        resigned = true;
    }

    /** Returns whether this process may acknowledge a withdrawal, and from when. */
    public WithdrawalReadiness withdrawalReadiness(Instant now) {
        if (!rules.promisesEnabled()) {
            return readinessWithoutPromises();
        }
        if (resigned || !isMember()) {
            return new NotReady(List.of());
        }
        updateKnownToAll(now);
        if (knownToAllSince.isEmpty()) {
            return new NotReady(memberTracker.membersBehind(joinedVersion, now));
        }
        // Members may still rely on promises that were given before all of them knew this process.
        Instant joinWaitEnd = knownToAllSince.get().plus(rules.promiseDuration());
        Instant startupWaitEnd = startedAt.plus(rules.promiseDuration());
        return new Ready(
                RingExpiry.later(ownPromiseEndsAt, RingExpiry.later(joinWaitEnd, startupWaitEnd)));
    }

    /**
     * Returns not ready if there are members: they may rely on promises even though this process
     * gives none, so it must not acknowledge a withdrawal.
     */
    private WithdrawalReadiness readinessWithoutPromises() {
        List<String> others = List.copyOf(memberTracker.members().members().keySet());
        return resigned || !others.isEmpty() ? new NotReady(others) : new Ready(startedAt);
    }

    private void updateKnownToAll(Instant now) {
        if (knownToAllSince.isEmpty()
                && isMember()
                && memberTracker.membersBehind(joinedVersion, now).isEmpty()) {
            knownToAllSince = Optional.of(now);
        }
    }

    private boolean isMember() {
        KeyMembers.Member own = memberTracker.members().members().get(self);
        return own != null && joinedVersion > 0 && own.joinedVersion() == joinedVersion;
    }

    private boolean hasMembershipLease(Instant now) {
        return rules.promisesEnabled()
                && !resigned
                && isMember()
                && !renewedAt.equals(Instant.MIN)
                && now.isBefore(renewedAt.plus(rules.membershipLease()));
    }

    private boolean mayPromise(Instant now) {
        return rules.promisesEnabled()
                && pendingWithdrawals == 0
                && (lastStoreContact.equals(Instant.MIN)
                        || lastStoreContact.plus(rules.storeContactTimeout()).isBefore(now));
    }

    private Instant promisedUntil() {
        // A member that joins after this process has left does not check whether this process knows
        // it.
        boolean mayRelyOnPromises = rules.promisesEnabled() && !resigned && isMember();
        if (!mayRelyOnPromises || renewedAt.equals(Instant.MIN)) {
            return Instant.MIN;
        }
        Instant until = renewedAt.plus(rules.membershipLease());
        for (String dataCentre : memberTracker.dataCentres()) {
            Instant promised = memberTracker.promisedUntil(dataCentre, Instant.MAX, ringVersion);
            until = RingExpiry.earlier(until, promised);
        }
        return until;
    }

    private List<PeerFreshness.Group> dataCentreGroups(Instant timestampReceivedAt, Instant now) {
        Instant own = ownPromiseFreshUntil();
        List<PeerFreshness.Group> groups = new ArrayList<>();
        for (String dataCentre : memberTracker.dataCentres()) {
            long seen =
                    memberTracker.minSeenVersion(
                            dataCentre, memberTracker.members().version(), now);
            Instant until = memberTracker.promisedUntil(dataCentre, own, ringVersion);
            Duration vouched = remainingFrom(until, timestampReceivedAt, now);
            groups.add(new PeerFreshness.Group(dataCentre, seen, vouched));
        }
        return groups;
    }

    private Instant ownPromiseFreshUntil() {
        return ownPromiseEndsAt.equals(Instant.MIN)
                ? Instant.MIN
                : ownPromiseEndsAt.plus(rules.readLease());
    }

    /**
     * Returns the time from a received timestamp until the end, or zero if the end has passed.
     *
     * <p>The receiver may still rely on the result after the member list it is based on has
     * changed. It is therefore limited to the time that a promise given now would allow, which is
     * how long a new member waits.
     */
    private Duration remainingFrom(Instant end, Instant timestampReceivedAt, Instant now) {
        Instant bounded =
                RingExpiry.earlier(end, now.plus(rules.promiseDuration()).plus(rules.readLease()));
        return bounded.isAfter(now)
                ? Duration.between(timestampReceivedAt, bounded)
                : Duration.ZERO;
    }
}
