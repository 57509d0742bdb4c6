package org.chervillift.core.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.config.KeyMembers;
import org.chervillift.api.config.KeyMembers.Member;
import org.chervillift.api.config.PeerFreshness;
import org.junit.jupiter.api.Test;

class KeyFreshnessTest {

    private static final Instant START = Instant.EPOCH;
    private static final KeyMembers THREE_MEMBERS =
            new KeyMembers(
                    7,
                    Map.of(
                            "a", new Member("dc", 5, 0),
                            "b", new Member("dc", 6, 0),
                            "c", new Member("dc", 7, 0)));

    private final KeyFreshness processA = new KeyFreshness("a", FreshnessRules.DEFAULT, START);

    @Test
    void aReadIsFreshFromItsStart() {
        processA.onStoreRead(at(1_000), 0, KeyMembers.EMPTY);

        assertThat(processA.acceptsKeyedRequests(at(5_400))).isTrue();
        assertThat(processA.acceptsKeyedRequests(at(5_500))).isFalse();
    }

    @Test
    void peerFreshnessCountsFromTheTimestampAndOnlyForItsRing() {
        processA.onPeerFreshness(
                "b",
                new PeerFreshness(1, 0, millis(3_000), Optional.empty(), false, List.of()),
                at(1_000));
        assertThat(processA.acceptsKeyedRequests(at(2_000))).isFalse();

        processA.onRingAdopted(1);
        processA.onPeerFreshness(
                "b",
                new PeerFreshness(1, 0, millis(3_000), Optional.empty(), false, List.of()),
                at(1_000));
        assertThat(processA.acceptsKeyedRequests(at(3_900))).isTrue();
        assertThat(processA.acceptsKeyedRequests(at(4_000))).isFalse();
    }

    @Test
    void withoutTheStoreEveryMemberMustPromise() {
        joinAsMember();
        processA.onPeerFreshness("b", freshnessWithPromise(3_000), at(20_000));
        assertThat(processA.acceptsKeyedRequests(at(20_100))).isFalse();

        processA.onPeerFreshness("c", freshnessWithPromise(2_000), at(20_000));
        assertThat(processA.acceptsKeyedRequests(at(26_400))).isTrue();
        assertThat(processA.acceptsKeyedRequests(at(26_500))).isFalse();
    }

    @Test
    void aResignedMemberPromisesForever() {
        joinAsMember();
        processA.onPeerFreshness("b", freshnessWithPromise(3_000), at(20_000));
        processA.onPeerFreshness(
                "c",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), true, List.of()),
                at(100));

        assertThat(processA.acceptsKeyedRequests(at(20_100))).isTrue();
    }

    @Test
    void promisesAreNotUsedAfterTheMembershipLeaseExpires() {
        joinAsMember();
        Instant end = at(0).plus(FreshnessRules.DEFAULT.membershipLease());
        processA.onPeerFreshness("b", freshnessWithPromise(3_000), end.minusMillis(100));
        processA.onPeerFreshness("c", freshnessWithPromise(3_000), end.minusMillis(100));

        assertThat(processA.acceptsKeyedRequests(end.minusMillis(1))).isTrue();
        assertThat(processA.acceptsKeyedRequests(end)).isFalse();
    }

    @Test
    void aWithdrawalWaitsForPromisesAndPreventsNewOnes() {
        joinAsMember();
        processA.onPeerFreshness(
                "b",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));
        processA.onPeerFreshness(
                "c",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));

        assertThat(processA.createPeerFreshness(at(10_000), at(10_000)).promise())
                .contains(millis(3_000));
        processA.onWithdrawalStarted();
        assertThat(processA.createPeerFreshness(at(11_000), at(11_000)).promise()).isEmpty();
        assertThat(processA.withdrawalReadiness(at(11_000)))
                .isEqualTo(new KeyFreshness.Ready(at(13_000)));
    }

    @Test
    void givesNoPromiseWhileTheStoreAnswers() {
        joinAsMember();
        processA.onStoreRead(at(9_000), 0, THREE_MEMBERS);

        assertThat(processA.createPeerFreshness(at(10_000), at(10_000)).promise()).isEmpty();
    }

    @Test
    void aNewMemberIsNotReadyUntilAllMembersKnowIt() {
        KeyFreshness processC = new KeyFreshness("c", FreshnessRules.DEFAULT, START);
        processC.onStoreRead(at(0), 0, THREE_MEMBERS);
        assertThat(processC.withdrawalReadiness(START))
                .isEqualTo(new KeyFreshness.NotReady(List.of()));

        processC.onJoined(THREE_MEMBERS, at(0));
        processC.onPeerFreshness(
                "a",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));
        processC.onPeerFreshness(
                "b",
                new PeerFreshness(0, 6, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));
        assertThat(processC.withdrawalReadiness(START))
                .isEqualTo(new KeyFreshness.NotReady(List.of("b")));
        assertThat(processC.withdrawalReadiness(START.plus(Duration.ofMinutes(17))))
                .isInstanceOf(KeyFreshness.Ready.class);
    }

    private void joinAsMember() {
        processA.onStoreRead(at(0), 0, THREE_MEMBERS);
        processA.onJoined(new KeyMembers(5, Map.of("a", new Member("dc", 5, 0))), at(0));
    }

    private static PeerFreshness freshnessWithPromise(long millis) {
        return new PeerFreshness(
                0, 7, Duration.ZERO, Optional.of(millis(millis)), false, List.of());
    }

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    private static Instant at(long millis) {
        return START.plusMillis(millis);
    }
}
