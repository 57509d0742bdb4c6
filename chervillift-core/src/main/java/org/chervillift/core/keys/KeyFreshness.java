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
 * <p>All times but {@code wallNow} come from the clock of this process that never goes back. The
 * class is for one thread.
 */
public final class KeyFreshness {

    private final String self;
    private final FreshnessRules rules;
    private final Instant startedAt;
    private final Map<String, Horizon> passedOn = new HashMap<>();
    private final Map<String, Horizon> promised = new HashMap<>();
    private final Map<String, Long> seenMembers = new HashMap<>();
    private Horizon store = Horizon.NONE;
    private Instant lastContact = Instant.MIN;
    private Instant renewedAt = Instant.MIN;
    private Instant ownPromiseEnd = Instant.MIN;
    private long ringVersion;
    private long joinedVersion;
    private KeyMembers members = KeyMembers.EMPTY;
    private int pendingWithdrawals;
    private boolean resigned;

    /** Creates the state of a process that has read nothing yet. */
    public KeyFreshness(String self, FreshnessRules rules, Instant startedAt) {
        this.self = Checks.notBlank("self", self);
        this.rules = Checks.notNull("rules", rules);
        this.startedAt = Checks.notNull("startedAt", startedAt);
    }

    /** Whether this process may answer a withdrawal. */
    public sealed interface Readiness {}

    /**
     * It may, from a moment on.
     *
     * @param answerFrom when the last promise of this process has ended
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
        if (read.version() > members.version()) {
            forgetPromisesOfEarlierLives(read);
            members = read;
        }
    }

    /** Notes that this process has joined the members in this life. */
    public void joined(long version, Instant writeStartedAt) {
        joinedVersion = version;
        renewed(writeStartedAt);
    }

    /** Notes that this process has renewed its place among the members. */
    public void renewed(Instant writeStartedAt) {
        if (writeStartedAt.isAfter(renewedAt)) {
            renewedAt = writeStartedAt;
        }
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
        seenMembers.merge(peer, told.membersVersion(), Math::max);
        if (told.ringVersion() > ringVersion) {
            return;
        }
        if (told.fresh().isPositive()) {
            keepLatest(passedOn, peer, told.ringVersion(), stampSentAt.plus(told.fresh()));
        }
        if (told.resigned()) {
            keepLatest(promised, peer, told.ringVersion(), Instant.MAX);
        } else if (told.promise().isPresent()) {
            Instant end = stampSentAt.plus(told.promise().get());
            keepLatest(promised, peer, told.ringVersion(), end.plus(rules.lease()));
        }
    }

    /**
     * Returns what a peer is to be told, and keeps the promise that it holds.
     *
     * @param stampReceivedAt when this process received the latest stamp of that peer
     */
    public PeerFreshness tell(Instant stampReceivedAt, Instant now) {
        Optional<Duration> promise = Optional.empty();
        if (mayPromise(now)) {
            Instant end = now.plus(rules.promise());
            ownPromiseEnd = later(ownPromiseEnd, end);
            promise = Optional.of(Duration.between(stampReceivedAt, end));
        }
        Instant until = earlier(keyedUntil(), now.plus(rules.longestVouching()));
        Duration fresh =
                until.isAfter(now) ? Duration.between(stampReceivedAt, until) : Duration.ZERO;
        return new PeerFreshness(ringVersion, members.version(), fresh, promise, resigned);
    }

    /** Returns whether keyed work may be taken now. */
    public boolean takesKeyedWork(Instant now) {
        return keyedUntil().isAfter(now);
    }

    /** Returns the end of the time for which keyed work may be taken, as far as is known. */
    public Instant keyedUntil() {
        Instant until = store.under(ringVersion);
        for (Horizon h : passedOn.values()) {
            until = later(until, h.under(ringVersion));
        }
        return later(until, vouchedUntil());
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
    public Readiness withdrawalReadiness(Instant wallNow) {
        if (!rules.vouching()) {
            return resigned ? new NotReady(List.of()) : new Ready(startedAt);
        }
        KeyMembers.Member own = members.members().get(self);
        if (resigned || joinedVersion == 0 || own == null || own.joinedVersion() != joinedVersion) {
            return new NotReady(List.of());
        }
        List<String> missing = new ArrayList<>();
        members.members()
                .forEach(
                        (id, member) -> {
                            if (!id.equals(self) && !knowsUs(id) && !expired(member, wallNow)) {
                                missing.add(id);
                            }
                        });
        if (!missing.isEmpty()) {
            return new NotReady(missing);
        }
        return new Ready(later(ownPromiseEnd, startedAt.plus(rules.promise())));
    }

    private boolean knowsUs(String member) {
        return seenMembers.getOrDefault(member, 0L) >= joinedVersion;
    }

    private boolean expired(KeyMembers.Member member, Instant wallNow) {
        return KeyMembership.expired(member, rules, wallNow);
    }

    private boolean mayPromise(Instant now) {
        return rules.vouching()
                && pendingWithdrawals == 0
                && (lastContact.equals(Instant.MIN)
                        || lastContact.plus(rules.contactLost()).isBefore(now));
    }

    private Instant vouchedUntil() {
        KeyMembers.Member own = members.members().get(self);
        if (!rules.vouching()
                || own == null
                || own.joinedVersion() != joinedVersion
                || renewedAt.equals(Instant.MIN)) {
            return Instant.MIN;
        }
        Instant until = renewedAt.plus(rules.longestVouching());
        for (String member : members.members().keySet()) {
            if (!member.equals(self)) {
                Horizon h = promised.getOrDefault(member, Horizon.NONE);
                until = earlier(until, h.under(ringVersion));
            }
        }
        return until;
    }

    private void forgetPromisesOfEarlierLives(KeyMembers read) {
        read.members()
                .forEach(
                        (id, member) -> {
                            KeyMembers.Member before = members.members().get(id);
                            if (before == null
                                    || before.joinedVersion() != member.joinedVersion()) {
                                promised.remove(id);
                            }
                        });
    }

    private static void keepLatest(
            Map<String, Horizon> horizons, String peer, long version, Instant until) {
        Horizon held = horizons.getOrDefault(peer, Horizon.NONE);
        if (until.isAfter(held.until())) {
            horizons.put(peer, new Horizon(version, until));
        }
    }

    private static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    private static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }

    /**
     * The end of the time for which a ring counts as fresh.
     *
     * @param ringVersion a process that holds this ring or a later one may rely on it
     * @param until the end
     */
    private record Horizon(long ringVersion, Instant until) {

        static final Horizon NONE = new Horizon(0, Instant.MIN);

        Instant under(long heldVersion) {
            return ringVersion <= heldVersion ? until : Instant.MIN;
        }
    }
}
