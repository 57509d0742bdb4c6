package org.chervillift.core.membership.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.core.membership.ContentKind;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MembershipAction;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;

/**
 * Decides when newer content is fetched and from where: from the store while it answers, otherwise
 * from a peer that holds it.
 */
public final class FetchPlanner {

    private final NodeIdentity self;
    private final MembershipSettings settings;
    private final Map<ContentKind, Attempt> attempts = new EnumMap<>(ContentKind.class);
    private Versions held = Versions.NONE;
    private Versions inForce = Versions.NONE;
    private Optional<Instant> storeReadAt = Optional.empty();

    /** Creates the planner of a process that holds no content. */
    public FetchPlanner(NodeIdentity self, MembershipSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Returns the versions that this process holds. */
    public Versions held() {
        return held;
    }

    /** Returns the start time of the latest read that the store answered. */
    public Optional<Instant> storeReadAt() {
        return storeReadAt;
    }

    /** Records an answer of the store. */
    public void storeRead(Versions versions, Instant startedAt) {
        inForce = inForce.max(versions);
        if (storeReadAt.isEmpty() || startedAt.isAfter(storeReadAt.get())) {
            storeReadAt = Optional.of(startedAt);
        }
    }

    /** Records the version that this process adopted; a lower one than before is ignored. */
    public void contentAdopted(ContentKind kind, long version) {
        held =
                switch (kind) {
                    case CONFIG -> held.max(new Versions(version, 0));
                    case KEY_RING -> held.max(new Versions(0, version));
                };
        Attempt attempt = attempts.get(kind);
        if (attempt != null && held.of(kind) >= attempt.version()) {
            attempts.remove(kind);
        }
    }

    /** Records that a fetch failed or returned nothing newer; the next one uses another source. */
    public void fetchFailed(ContentKind kind) {
        attempts.computeIfPresent(kind, (k, a) -> a.ended());
    }

    /** Returns the fetches that are due now. */
    public List<MembershipAction> dueFetches(Collection<Member> members, Instant now) {
        List<MembershipAction> actions = new ArrayList<>();
        for (ContentKind kind : ContentKind.values()) {
            dueFetches(kind, members, now).ifPresent(actions::add);
        }
        return actions;
    }

    private Optional<MembershipAction> dueFetches(
            ContentKind kind, Collection<Member> members, Instant now) {
        List<Member> peers = peersWithNewerContent(kind, members);
        long peerVersion = peers.isEmpty() ? 0 : peers.getFirst().versions().of(kind);
        long known = Math.max(inForce.of(kind), peerVersion);
        Attempt last = attempts.getOrDefault(kind, Attempt.NONE);
        if (known <= held.of(kind) || isInProgress(last, now)) {
            return Optional.empty();
        }
        boolean isStoreUp = storeReadAt.map(r -> !isStale(r, now)).orElse(false);
        boolean preferStore = peers.isEmpty() || last.count() % 2 == 0;
        if (isStoreUp && preferStore) {
            attempts.put(kind, last.started(known, now));
            return Optional.of(new MembershipAction.FetchFromStore(kind, known));
        }
        if (peers.isEmpty()) {
            return Optional.empty();
        }
        Member peer = peers.get(last.count() % peers.size());
        attempts.put(kind, last.started(known, now));
        return Optional.of(new MembershipAction.FetchFromPeer(kind, peer.id(), held.of(kind)));
    }

    /**
     * Returns linked members with newer content: the highest version first, then members in the
     * same data centre.
     */
    private List<Member> peersWithNewerContent(ContentKind kind, Collection<Member> members) {
        return members.stream()
                .filter(m -> m.isLinked() && m.versions().of(kind) > held.of(kind))
                .sorted(
                        Comparator.comparingLong((Member m) -> -m.versions().of(kind))
                                .thenComparing(m -> isInOtherDataCentre(m))
                                .thenComparingLong(m -> RendezvousHash.weight(m.id(), self.id())))
                .toList();
    }

    private boolean isInOtherDataCentre(Member member) {
        return !member.node().dataCentre().equals(self.dataCentre());
    }

    private boolean isInProgress(Attempt attempt, Instant now) {
        return attempt.startedAt()
                .map(b -> b.plus(settings.fetchTimeout()).isAfter(now))
                .orElse(false);
    }

    private boolean isStale(Instant readAt, Instant now) {
        return readAt.plus(settings.storeStaleAfter()).isBefore(now);
    }

    private record Attempt(long version, int count, Optional<Instant> startedAt) {

        static final Attempt NONE = new Attempt(0, 0, Optional.empty());

        Attempt started(long newVersion, Instant now) {
            return new Attempt(newVersion, count + 1, Optional.of(now));
        }

        Attempt ended() {
            return new Attempt(version, count, Optional.empty());
        }
    }
}
