package org.chervillift.bench.internal.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.Versions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each cell of the table in docs/design/11-membership.md. */
class CutOffTest {

    private static final int DATA_CENTRES = 3;
    private static final int PROCESSES = 12;
    private static final String CUT = "dc-0";
    private static final Versions BEFORE = new Versions(5, 5);
    private static final Versions AFTER = new Versions(6, 6);
    private static final Duration BOUND = Duration.ofSeconds(14);
    private static final Duration FRESH = Duration.ofSeconds(3);
    private static final Duration PASSED_ON = Duration.ofSeconds(8);
    private static final Duration LONG = Duration.ofMinutes(3);

    private final VirtualFleet fleet = new VirtualFleet(DATA_CENTRES, PROCESSES, 21);

    @BeforeEach
    void settle() {
        fleet.commit(BEFORE);
        fleet.run(Duration.ofMinutes(1));
    }

    @Test
    void cutFromPeersNewVersionsComeFromTheStore() {
        cutPeers();
        fleet.run(LONG);
        fleet.commit(AFTER);
        assertThat(fleet.awaitInForce(BOUND)).isLessThan(BOUND);
    }

    @Test
    void cutFromPeersTheOwnDataCentreStaysAliveAndTheOthersAreSuspectedNotGone() {
        cutPeers();
        fleet.run(LONG);
        for (VirtualNode n : inside()) {
            for (Member m : n.membership().members()) {
                boolean near = m.node().dataCentre().equals(CUT);
                assertThat(m.state()).isEqualTo(near ? MemberState.ALIVE : MemberState.SUSPECTED);
            }
        }
    }

    @Test
    void cutFromPeersOwnReadsStayFreshAndAReplacedVmLearnsFromThePlatform() {
        cutPeers();
        fleet.run(LONG);
        VirtualNode later = fleet.replace(inside().getFirst(), "later");
        fleet.run(BOUND);
        assertThat(later.held()).isEqualTo(BEFORE);
        assertThat(inside()).allMatch(n -> readAge(n).compareTo(FRESH) < 0);
    }

    @Test
    void cutFromThePlatformAllMembersStayAliveAndVersionsAreKept() {
        fleet.store().cut(CUT);
        fleet.run(LONG);
        for (VirtualNode n : fleet.nodes()) {
            assertThat(n.held()).isEqualTo(BEFORE);
            assertThat(n.membership().members()).hasSize(PROCESSES - 1);
            assertThat(n.membership().members()).allMatch(m -> m.state() == MemberState.ALIVE);
        }
    }

    @Test
    void cutFromThePlatformNewVersionsComeFromPeers() {
        fleet.store().cut(CUT);
        fleet.run(LONG);
        fleet.commit(AFTER);
        assertThat(fleet.awaitInForce(BOUND)).isLessThan(BOUND);
    }

    @Test
    void cutFromThePlatformTheFreshnessOfOthersIsPassedOn() {
        fleet.store().cut(CUT);
        fleet.run(LONG);
        assertThat(inside()).allMatch(n -> readAge(n).compareTo(PASSED_ON) < 0);
        fleet.store().healAll();
        fleet.run(FRESH);
        assertThat(inside()).allMatch(n -> readAge(n).compareTo(FRESH) < 0);
    }

    @Test
    void cutFromThePlatformAReplacedVmLearnsFromPeers() {
        fleet.store().cut(CUT);
        fleet.run(LONG);
        VirtualNode later = fleet.replace(inside().getFirst(), "later");
        fleet.run(BOUND);
        assertThat(later.held()).isEqualTo(BEFORE);
    }

    @Test
    void cutFromBothVersionsAreKeptAndFreshnessAges() {
        cutBoth();
        fleet.commit(AFTER);
        fleet.run(LONG);
        for (VirtualNode n : inside()) {
            assertThat(n.held()).isEqualTo(BEFORE);
            assertThat(readAge(n)).isGreaterThanOrEqualTo(LONG);
        }
        assertThat(outside()).allMatch(n -> n.held().equals(AFTER));
    }

    @Test
    void cutFromBothAReplacedVmLearnsFromItsDataCentre() {
        cutBoth();
        fleet.run(LONG);
        VirtualNode later = fleet.replace(inside().getFirst(), "later");
        fleet.run(BOUND);
        assertThat(later.held()).isEqualTo(BEFORE);
        assertThat(later.membership().members().stream())
                .filteredOn(m -> m.state() == MemberState.ALIVE)
                .hasSize(inside().size() - 1);
    }

    @Test
    void afterACutFromBothTheNewestVersionIsInForceWithinTheBound() {
        cutBoth();
        fleet.commit(AFTER);
        fleet.run(LONG);
        fleet.network().healAll();
        fleet.store().healAll();
        assertThat(fleet.awaitInForce(BOUND)).isLessThan(BOUND);
    }

    @Test
    void afterACutFromPeersAllHearEachOtherAgainWithinTheBound() {
        cutPeers();
        fleet.run(LONG);
        fleet.network().healAll();
        fleet.run(BOUND);
        for (VirtualNode n : fleet.nodes()) {
            assertThat(n.membership().members()).allMatch(m -> m.state() == MemberState.ALIVE);
        }
    }

    @Test
    void aWholeFleetReplacedWhileTheStoreIsDownKeepsItsVersions() {
        fleet.store().setDown(true);
        for (VirtualNode n : fleet.nodes()) {
            fleet.replace(n, "later-" + n.identity().id());
            fleet.run(Duration.ofSeconds(10));
        }
        assertThat(fleet.nodes()).hasSize(PROCESSES);
        assertThat(fleet.nodes()).allMatch(n -> n.held().equals(BEFORE));
    }

    private void cutPeers() {
        fleet.network().cut(CUT, "dc-1");
        fleet.network().cut(CUT, "dc-2");
    }

    private void cutBoth() {
        cutPeers();
        fleet.store().cut(CUT);
    }

    private List<VirtualNode> inside() {
        return fleet.nodes().stream().filter(n -> n.identity().dataCentre().equals(CUT)).toList();
    }

    private List<VirtualNode> outside() {
        return fleet.nodes().stream().filter(n -> !n.identity().dataCentre().equals(CUT)).toList();
    }

    private Duration readAge(VirtualNode node) {
        Instant readAt = node.membership().storeReadAt().orElse(Instant.EPOCH);
        return Duration.between(readAt, fleet.scheduler().now());
    }
}
