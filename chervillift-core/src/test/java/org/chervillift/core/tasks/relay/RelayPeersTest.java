package org.chervillift.core.tasks.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks which peers are tried while the store rejects some or all entry VMs. */
class RelayPeersTest {

    private static final long FAR_FUTURE = 1_000_000;

    private final RelayPeers peers = new RelayPeers("self", "dc-a");
    private long now = 10_000;

    private static RelayPeer peer(String vm, String dataCentre) {
        return new RelayPeer(vm, "192.0.2.1:1", dataCentre, vm + "/1");
    }

    private void know(String... vms) {
        List<RelayPeer> all = new ArrayList<>();
        for (String vm : vms) {
            all.add(peer(vm, vm.startsWith("near") ? "dc-a" : "dc-b"));
        }
        peers.update(all);
    }

    private Optional<RelayTry> choose() {
        return peers.choose(Set.of(), FAR_FUTURE, now);
    }

    private void end(RelayTry tried, RelayResult result) {
        peers.recordResult(tried, result, now);
        peers.release(tried);
    }

    /** Sends one request to a peer, if one may be tried, and ends it. */
    private Optional<String> tryOnce(RelayResult result) {
        Optional<RelayTry> chosen = choose();
        chosen.ifPresent(t -> end(t, result));
        return chosen.map(t -> t.peer().vm());
    }

    @Test
    void peersOfTheSameDataCentreComeFirstAndTakeTurns() {
        know("self", "far-1", "near-1", "near-2");
        Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(tryOnce(RelayResult.ANSWERED).orElseThrow());
        }
        assertThat(chosen).containsExactlyInAnyOrder("near-1", "near-2");
        assertThat(peers.choose(Set.of("near-1"), FAR_FUTURE, now).orElseThrow().peer().vm())
                .isEqualTo("near-2");
    }

    @Test
    void aPeerThatFailsIsSkippedForATimeThatDoublesUpToTwoSeconds() {
        know("near-1", "far-1");
        assertThat(tryOnce(RelayResult.NO_ANSWER)).contains("near-1");
        now += RelayBackOff.MIN_MILLIS - 1;
        assertThat(tryOnce(RelayResult.ANSWERED)).contains("far-1");
        now++;
        assertThat(tryOnce(RelayResult.ANSWERED)).contains("near-1");
        assertThat(backOffs()).containsExactly(100L, 200L, 400L, 800L, 1_600L, 2_000L, 2_000L);
    }

    private static List<Long> backOffs() {
        List<Long> millis = new ArrayList<>();
        RelayBackOff backOff = RelayBackOff.NONE;
        long at = 0;
        for (int i = 0; i < 7; i++) {
            backOff = backOff.afterFailure(at);
            millis.add(backOff.until() - at);
            at = backOff.until();
        }
        return millis;
    }

    /** Failures of requests that were in flight together must not multiply the wait. */
    @Test
    void failuresOfRequestsThatWereInFlightTogetherCountOnce() {
        RelayBackOff first = RelayBackOff.NONE.afterFailure(now);
        assertThat(first.afterFailure(now + 1)).isEqualTo(first);
    }

    /** Guards against requests that each try two peers while the store is down for all. */
    @Test
    void ifAllRecentTriesFailedOneRequestAtATimeProbesAndTheOthersAreNotRelayed() {
        know("near-1", "near-2", "far-1", "far-2", "far-3");
        for (int i = 0; i < RelayCircuit.PEERS_TO_OPEN; i++) {
            assertThat(tryOnce(RelayResult.NOT_SERVED)).isPresent();
        }
        assertThat(choose()).isEmpty();

        now += RelayBackOff.MIN_MILLIS;
        RelayTry probe = choose().orElseThrow();
        assertThat(probe.probe()).isTrue();
        assertThat(choose()).isEmpty();
        end(probe, RelayResult.NOT_SERVED);
        now += RelayBackOff.MIN_MILLIS;
        assertThat(choose()).isEmpty();
        now += RelayBackOff.MIN_MILLIS;
        assertThat(tryOnce(RelayResult.ANSWERED)).isPresent();
        assertThat(choose().orElseThrow().probe()).isFalse();
    }

    /** Guards against an open circuit because a third of the entry VMs is rejected. */
    @Test
    void peersThatAnswerKeepTheCircuitClosed() {
        know("near-1", "near-2", "near-3", "near-4", "near-5", "near-6");
        int relayed = 0;
        for (int i = 0; i < 100; i++) {
            Optional<RelayTry> chosen = choose();
            chosen.ifPresent(
                    t ->
                            end(
                                    t,
                                    t.peer().vm().compareTo("near-2") > 0
                                            ? RelayResult.ANSWERED
                                            : RelayResult.NOT_SERVED));
            relayed += chosen.isPresent() ? 1 : 0;
            now += 10;
        }
        assertThat(relayed).isEqualTo(100);
    }

    @Test
    void atMostTwoPeersAreTriedWithinTheTimeThatTheCallerWaits() {
        know("near-1", "near-2", "near-3");
        assertThat(peers.choose(Set.of("near-1", "near-2"), FAR_FUTURE, now)).isEmpty();
        assertThat(peers.choose(Set.of(), now + 10, now)).isEmpty();
        assertThat(peers.choose(Set.of(), now + 300, now).orElseThrow().timeoutMillis())
                .isEqualTo(300);
        assertThat(choose().orElseThrow().timeoutMillis()).isEqualTo(RelayPeers.MAX_TRY_MILLIS);
    }

    @Test
    void requestsInFlightAreBoundedAndFewerGoToAPeerThatHasNotAnsweredYet() {
        know("near-1");
        List<RelayTry> started = startAll();
        assertThat(started).hasSize(RelayPeers.MAX_IN_FLIGHT_UNPROVEN);
        started.forEach(t -> end(t, RelayResult.ANSWERED));
        assertThat(startAll()).hasSize(RelayPeers.MAX_IN_FLIGHT);
    }

    private List<RelayTry> startAll() {
        List<RelayTry> started = new ArrayList<>();
        for (Optional<RelayTry> t = choose(); t.isPresent(); t = choose()) {
            started.add(t.get());
        }
        return started;
    }

    @Test
    void aRestartedPeerIsTriedAtOnceAndTheNumberOfPeersIsBounded() {
        know("near-1", "far-1");
        assertThat(tryOnce(RelayResult.NOT_REACHED)).contains("near-1");
        assertThat(choose().orElseThrow().peer().vm()).isEqualTo("far-1");
        peers.update(List.of(new RelayPeer("near-1", "192.0.2.1:1", "dc-a", "near-1/2")));
        assertThat(choose().orElseThrow().peer().vm()).isEqualTo("near-1");

        peers.update(
                IntStream.range(0, 2 * RelayPeers.MAX_PEERS)
                        .mapToObj(i -> peer("near-" + i, "dc-a"))
                        .toList());
        assertThat(peers.peerCount()).isEqualTo(RelayPeers.MAX_PEERS);
    }

    /** Such a peer was never tried again after its next failure. */
    @Test
    void aPeerThatIsForgottenDuringATryAndComesBackIsTriedAgainAfterAFailure() {
        know("near-1", "far-1", "far-2", "far-3");
        RelayTry before = choose().orElseThrow();
        know("far-1", "far-2", "far-3");
        know("near-1", "far-1", "far-2", "far-3");
        end(before, RelayResult.ANSWERED);

        assertThat(tryOnce(RelayResult.NOT_SERVED)).contains("near-1");
        now += RelayBackOff.MIN_MILLIS;
        assertThat(tryOnce(RelayResult.ANSWERED)).contains("near-1");
    }
}
