package org.chervillift.core.membership.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.core.membership.HeardVia;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.MemberSummary;
import org.chervillift.core.membership.MembershipSettings;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;

/** Chooses which members a heartbeat tells of: news first, then the one not told for longest. */
public final class SummarySelector {

    private final NodeIdentity self;
    private final MembershipSettings settings;
    private final Map<String, Map<String, SentSummary>> sentByPeer = new HashMap<>();

    /** Creates a chooser for a process. */
    public SummarySelector(NodeIdentity self, MembershipSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Forgets what a peer was told, since its link is new or gone. */
    public void forget(String peer) {
        sentByPeer.remove(peer);
    }

    /** Returns what to tell a peer, and takes it as told. */
    public List<MemberSummary> select(
            Member peer, Collection<Member> members, long sequence, Instant now) {
        Map<String, SentSummary> before =
                sentByPeer.computeIfAbsent(peer.id(), p -> new HashMap<>());
        boolean inside = peer.node().dataCentre().equals(self.dataCentre());
        int most = inside ? settings.summariesInside() : settings.summariesAcross();
        List<Member> chosen =
                members.stream()
                        .filter(m -> m != peer && isEligible(m, inside, before))
                        .sorted(
                                Comparator.comparing((Member m) -> !isChangedSinceSent(m, before))
                                        .thenComparingLong(m -> lastSentSequence(m, before))
                                        .thenComparing(Member::id))
                        .limit(most)
                        .toList();
        chosen.forEach(m -> before.put(m.id(), sentSummary(m, sequence)));
        return chosen.stream().map(m -> summary(m, now)).toList();
    }

    private boolean isEligible(Member member, boolean inside, Map<String, SentSummary> before) {
        if (member.state() == MemberState.GONE || member.heardAt().isEmpty()) {
            return false;
        }
        boolean near = member.node().dataCentre().equals(self.dataCentre());
        if (!inside) {
            return near && member.isLinked();
        }
        if (near) {
            return member.isLinked() && !before.containsKey(member.id());
        }
        return member.isLinked() || member.route() == HeardVia.OTHER_DATA_CENTRE_PEER;
    }

    private static boolean isChangedSinceSent(Member member, Map<String, SentSummary> before) {
        SentSummary last = before.get(member.id());
        return last == null || !last.equals(sentSummary(member, last.sequence()));
    }

    private static long lastSentSequence(Member member, Map<String, SentSummary> before) {
        SentSummary last = before.get(member.id());
        return last == null ? 0 : last.sequence();
    }

    private static SentSummary sentSummary(Member m, long sequence) {
        return new SentSummary(m.node().incarnation(), m.state(), m.versions(), sequence);
    }

    private static MemberSummary summary(Member m, Instant now) {
        Duration age = Duration.between(m.heardAt().orElseThrow(), now);
        Duration shown = age.isNegative() ? Duration.ZERO : age;
        return new MemberSummary(m.node(), m.state(), m.versions(), shown);
    }

    private record SentSummary(
            long incarnation, MemberState state, Versions versions, long sequence) {}
}
