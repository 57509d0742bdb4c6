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

/**
 * Selects the member summaries of a heartbeat: changed ones first, then the least recently sent.
 */
public final class SummarySelector {

    private final NodeIdentity self;
    private final MembershipSettings settings;
    private final Map<String, Map<String, SentSummary>> sentByPeer = new HashMap<>();

    /** Creates the selector of a process. */
    public SummarySelector(NodeIdentity self, MembershipSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Discards what was sent to a peer, because its link is new or closed. */
    public void forget(String peer) {
        sentByPeer.remove(peer);
    }

    /** Selects the summaries for a peer and records them as sent. */
    public List<MemberSummary> select(
            Member peer, Collection<Member> members, long sequence, Instant now) {
        Map<String, SentSummary> sentBefore =
                sentByPeer.computeIfAbsent(peer.id(), p -> new HashMap<>());
        boolean isSameDataCentre = peer.node().dataCentre().equals(self.dataCentre());
        int maxSummaries =
                isSameDataCentre ? settings.summariesInside() : settings.summariesAcross();
        List<Member> chosen =
                members.stream()
                        .filter(m -> m != peer && isEligible(m, isSameDataCentre, sentBefore))
                        .sorted(
                                Comparator.comparing(
                                                (Member m) -> !isChangedSinceSent(m, sentBefore))
                                        .thenComparingLong(m -> lastSentSequence(m, sentBefore))
                                        .thenComparing(Member::id))
                        .limit(maxSummaries)
                        .toList();
        chosen.forEach(m -> sentBefore.put(m.id(), sentSummary(m, sequence)));
        return chosen.stream().map(m -> summary(m, now)).toList();
    }

    private boolean isEligible(
            Member member, boolean toSameDataCentre, Map<String, SentSummary> sentBefore) {
        if (member.state() == MemberState.GONE || member.heardAt().isEmpty()) {
            return false;
        }
        boolean isMemberLocal = member.node().dataCentre().equals(self.dataCentre());
        if (!toSameDataCentre) {
            return isMemberLocal && member.isLinked();
        }
        if (isMemberLocal) {
            return member.isLinked() && !sentBefore.containsKey(member.id());
        }
        return member.isLinked() || member.route() == HeardVia.OTHER_DATA_CENTRE_PEER;
    }

    private static boolean isChangedSinceSent(Member member, Map<String, SentSummary> sentBefore) {
        SentSummary last = sentBefore.get(member.id());
        return last == null || !last.equals(sentSummary(member, last.sequence()));
    }

    private static long lastSentSequence(Member member, Map<String, SentSummary> sentBefore) {
        SentSummary last = sentBefore.get(member.id());
        return last == null ? 0 : last.sequence();
    }

    private static SentSummary sentSummary(Member m, long sequence) {
        return new SentSummary(m.node().incarnation(), m.state(), m.versions(), sequence);
    }

    private static MemberSummary summary(Member m, Instant now) {
        Duration age = Duration.between(m.heardAt().orElseThrow(), now);
        Duration heardAge = age.isNegative() ? Duration.ZERO : age;
        return new MemberSummary(m.node(), m.state(), m.versions(), heardAge);
    }

    private record SentSummary(
            long incarnation, MemberState state, Versions versions, long sequence) {}
}
