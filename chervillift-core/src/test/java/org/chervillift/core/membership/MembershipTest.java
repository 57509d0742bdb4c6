package org.chervillift.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.platform.ListedVm;
import org.junit.jupiter.api.Test;

class MembershipTest {

    private static final Instant START = Instant.EPOCH.plusSeconds(1000);
    private static final NodeIdentity SELF = node("a", 1);
    private static final NodeIdentity PEER = node("b", 5);

    private final Membership view =
            new Membership(SELF, Set.of("127.0.0.1:9"), MembershipSettings.DEFAULT);
    private final List<MembershipAction> actions = new ArrayList<>();
    private Instant now = START;
    private long peerSequence;
    private long lastSent;

    @Test
    void aDelayedHeartbeatMakesTheStoreReadLookOlder() {
        link(PEER);
        long echo = tick();
        Instant echoSentAt = now;
        advanceClock(Duration.ofSeconds(3));
        on(heartbeat(echo, Versions.NONE, Duration.ofMillis(200)));
        assertThat(view.storeReadAt()).hasValue(echoSentAt.minusMillis(200));
    }

    @Test
    void aMemberThatStopsEchoingOurHeartbeatsIsSuspected() {
        link(PEER);
        for (int i = 0; i < 5; i++) {
            advanceClock(Duration.ofSeconds(1));
            tick();
            on(heartbeat(1, Versions.NONE, Duration.ZERO));
        }
        assertThat(state("b")).isEqualTo(MemberState.SUSPECTED);
    }

    @Test
    void duplicateLateAndOldIncarnationHeartbeatsAreIgnored() {
        link(PEER);
        MembershipEvent second = heartbeat(0, new Versions(2, 0), Duration.ZERO);
        peerSequence = 0;
        MembershipEvent first = heartbeat(0, new Versions(1, 0), Duration.ZERO);
        Heartbeat high = ((MembershipEvent.HeartbeatReceived) second).heartbeat();
        Heartbeat later =
                new Heartbeat(9, 0, high.versions(), high.readAge(), false, List.of(), List.of());
        assertThat(isProcessed(new MembershipEvent.HeartbeatReceived("b", 5, later))).isTrue();
        assertThat(isProcessed(new MembershipEvent.HeartbeatReceived("b", 5, later)))
                .as("duplicate")
                .isFalse();
        assertThat(isProcessed(first)).as("late").isFalse();
        Heartbeat next =
                new Heartbeat(10, 0, high.versions(), high.readAge(), false, List.of(), List.of());
        assertThat(isProcessed(new MembershipEvent.HeartbeatReceived("b", 4, next)))
                .as("old incarnation")
                .isFalse();
    }

    @Test
    void aMemberIsGoneWhenAnotherVmUsesItsAddress() {
        link(PEER);
        on(new MembershipEvent.LinkDown("b", 5));
        on(new MembershipEvent.LinkUp(new NodeIdentity("c", 1, "dc1", PEER.address())));
        assertThat(state("b")).isEqualTo(MemberState.GONE);
        assertThat(state("c")).isEqualTo(MemberState.ALIVE);
    }

    @Test
    void anEarlierIncarnationIsToldOfTheLaterOne() {
        link(PEER);
        on(new MembershipEvent.LinkDown("b", 5));
        on(new MembershipEvent.LinkUp(node("b", 4)));
        assertThat(actions).contains(new MembershipAction.SendStaleIncarnation("b", 5));
        assertThat(view.members().iterator().next().node().incarnation()).isEqualTo(5);
        on(new MembershipEvent.StaleIncarnation(7));
        assertThat(actions).contains(new MembershipAction.TakeIncarnation(SELF.withIncarnation(8)));
    }

    @Test
    void fetchesNewerContentFromTheStoreOrFromAPeerWhenTheStoreIsDown() {
        link(PEER);
        on(new MembershipEvent.StoreRead(Versions.NONE, now));
        on(heartbeat(0, new Versions(3, 0), Duration.ZERO));
        assertThat(actions).contains(new MembershipAction.FetchFromStore(ContentKind.CONFIG, 3));
        on(new MembershipEvent.FetchFailed(ContentKind.CONFIG));
        advanceClock(Duration.ofSeconds(4));
        tick();
        assertThat(actions)
                .contains(new MembershipAction.FetchFromPeer(ContentKind.CONFIG, "b", 0));
    }

    @Test
    void ignoresLowerVersionsOfAPeerAndOfAnAdoption() {
        link(PEER);
        on(new MembershipEvent.ContentAdopted(ContentKind.CONFIG, 7));
        actions.clear();
        on(heartbeat(0, new Versions(6, 0), Duration.ZERO));
        on(new MembershipEvent.ContentAdopted(ContentKind.CONFIG, 6));
        assertThat(view.held().config()).isEqualTo(7);
        assertThat(actions).noneMatch(a -> a instanceof MembershipAction.FetchFromPeer);
    }

    @Test
    void aListThatMayBeOlderThanTheLastHeartbeatRemovesNoMember() {
        link(PEER);
        on(new MembershipEvent.LinkDown("b", 5));
        advanceClock(Duration.ofSeconds(15));
        on(new MembershipEvent.ListRead(List.of(), now));
        assertThat(state("b")).isEqualTo(MemberState.SUSPECTED);
        advanceClock(Duration.ofSeconds(30));
        on(new MembershipEvent.ListRead(List.of(), now));
        assertThat(state("b")).isEqualTo(MemberState.GONE);
    }

    @Test
    void aNewMemberReportedWithALargeAgeIsNotRemovedByAnEarlierList() {
        link(PEER);
        long echo = tick();
        advanceClock(Duration.ofSeconds(50));
        on(new MembershipEvent.ListRead(List.of(), now));
        NodeIdentity third = new NodeIdentity("c", 1, "dc2", "10.0.2.1:7");
        MemberSummary reported =
                new MemberSummary(third, MemberState.ALIVE, Versions.NONE, Duration.ofSeconds(1));
        Heartbeat late =
                new Heartbeat(
                        99,
                        echo,
                        Versions.NONE,
                        Optional.empty(),
                        false,
                        List.of(),
                        List.of(reported));
        on(new MembershipEvent.HeartbeatReceived("b", 5, late));
        assertThat(state("c")).isEqualTo(MemberState.SUSPECTED);
    }

    @Test
    void connectsToSeedsUntilTheListIsRead() {
        tick();
        assertThat(actions).contains(new MembershipAction.Dial(Set.of("127.0.0.1:9")));
        ListedVm listed =
                new ListedVm("b", ListedVm.Role.ENTRY, "dc1", "10.0.0.2:80", "10.0.0.2:7", false);
        on(new MembershipEvent.ListRead(List.of(listed), now));
        assertThat(actions).contains(new MembershipAction.Dial(Set.of("10.0.0.2:7")));
    }

    private static NodeIdentity node(String id, long incarnation) {
        return new NodeIdentity(id, incarnation, "dc1", "10.0.0." + (int) id.charAt(0) + ":7");
    }

    private void link(NodeIdentity peer) {
        on(new MembershipEvent.LinkUp(peer));
    }

    private long tick() {
        on(new MembershipEvent.Tick());
        return lastSent;
    }

    private void advanceClock(Duration time) {
        now = now.plus(time);
    }

    private boolean isProcessed(MembershipEvent event) {
        int before = actions.size();
        on(event);
        return actions.subList(before, actions.size()).stream()
                .anyMatch(a -> a instanceof MembershipAction.ProcessHeartbeat);
    }

    private void on(MembershipEvent event) {
        for (MembershipAction action : view.handle(event, now)) {
            if (action instanceof MembershipAction.SendHeartbeat s) {
                lastSent = s.heartbeat().sequence();
            }
            actions.add(action);
        }
    }

    private MembershipEvent heartbeat(long echo, Versions versions, Duration readAge) {
        peerSequence++;
        return new MembershipEvent.HeartbeatReceived(
                "b",
                5,
                new Heartbeat(
                        peerSequence,
                        echo,
                        versions,
                        Optional.of(readAge),
                        false,
                        List.of(),
                        List.of()));
    }

    private MemberState state(String id) {
        return view.members().stream()
                .filter(m -> m.id().equals(id))
                .findFirst()
                .orElseThrow()
                .state();
    }
}
