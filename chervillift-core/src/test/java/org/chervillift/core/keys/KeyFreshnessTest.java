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
    private static final KeyMembers THREE =
            new KeyMembers(
                    7,
                    Map.of(
                            "a", new Member("dc", 5, 0),
                            "b", new Member("dc", 6, 0),
                            "c", new Member("dc", 7, 0)));

    private final KeyFreshness a = new KeyFreshness("a", FreshnessRules.STANDARD, START);

    @Test
    void aReadCountsFromItsStart() {
        a.storeAnswered(at(1_000), 0, KeyMembers.EMPTY);

        assertThat(a.takesKeyedWork(at(5_400))).isTrue();
        assertThat(a.takesKeyedWork(at(5_500))).isFalse();
    }

    @Test
    void aPeersWordCountsFromTheStampAndOnlyUnderItsRing() {
        a.heard(
                "b",
                new PeerFreshness(1, 0, millis(3_000), Optional.empty(), false, List.of()),
                at(1_000));
        assertThat(a.takesKeyedWork(at(2_000))).isFalse();

        a.ringAdopted(1);
        a.heard(
                "b",
                new PeerFreshness(1, 0, millis(3_000), Optional.empty(), false, List.of()),
                at(1_000));
        assertThat(a.takesKeyedWork(at(3_900))).isTrue();
        assertThat(a.takesKeyedWork(at(4_000))).isFalse();
    }

    @Test
    void withoutTheStoreAllMembersHaveToPromise() {
        joinAsMember();
        a.heard("b", promise(3_000), at(20_000));
        assertThat(a.takesKeyedWork(at(20_100))).isFalse();

        a.heard("c", promise(2_000), at(20_000));
        assertThat(a.takesKeyedWork(at(26_400))).isTrue();
        assertThat(a.takesKeyedWork(at(26_500))).isFalse();
    }

    @Test
    void aLeavingMemberPromisesForGood() {
        joinAsMember();
        a.heard("b", promise(3_000), at(20_000));
        a.heard(
                "c",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), true, List.of()),
                at(100));

        assertThat(a.takesKeyedWork(at(20_100))).isTrue();
    }

    @Test
    void vouchingEndsWithTheRenewal() {
        joinAsMember();
        Instant end = at(0).plus(FreshnessRules.STANDARD.longestVouching());
        a.heard("b", promise(3_000), end.minusMillis(100));
        a.heard("c", promise(3_000), end.minusMillis(100));

        assertThat(a.takesKeyedWork(end.minusMillis(1))).isTrue();
        assertThat(a.takesKeyedWork(end)).isFalse();
    }

    @Test
    void aWithdrawalWaitsForThePromisesAndStopsNewOnes() {
        joinAsMember();
        a.heard(
                "b",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));
        a.heard(
                "c",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));

        assertThat(a.tell(at(10_000), at(10_000)).promise()).contains(millis(3_000));
        a.withdrawalBegins();
        assertThat(a.tell(at(11_000), at(11_000)).promise()).isEmpty();
        assertThat(a.withdrawalReadiness(at(11_000))).isEqualTo(new KeyFreshness.Ready(at(13_000)));
    }

    @Test
    void noPromiseWhileTheStoreAnswers() {
        joinAsMember();
        a.storeAnswered(at(9_000), 0, THREE);

        assertThat(a.tell(at(10_000), at(10_000)).promise()).isEmpty();
    }

    @Test
    void aNewMemberAnswersNoWithdrawalBeforeAllKnowIt() {
        KeyFreshness c = new KeyFreshness("c", FreshnessRules.STANDARD, START);
        c.storeAnswered(at(0), 0, THREE);
        assertThat(c.withdrawalReadiness(START)).isEqualTo(new KeyFreshness.NotReady(List.of()));

        c.joined(THREE, at(0));
        c.heard(
                "a",
                new PeerFreshness(0, 7, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));
        c.heard(
                "b",
                new PeerFreshness(0, 6, Duration.ZERO, Optional.empty(), false, List.of()),
                at(0));
        assertThat(c.withdrawalReadiness(START)).isEqualTo(new KeyFreshness.NotReady(List.of("b")));
        assertThat(c.withdrawalReadiness(START.plus(Duration.ofMinutes(17))))
                .isInstanceOf(KeyFreshness.Ready.class);
    }

    private void joinAsMember() {
        a.storeAnswered(at(0), 0, THREE);
        a.joined(new KeyMembers(5, Map.of("a", new Member("dc", 5, 0))), at(0));
    }

    private static PeerFreshness promise(long millis) {
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
