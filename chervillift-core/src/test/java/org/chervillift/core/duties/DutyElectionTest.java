package org.chervillift.core.duties;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.core.fleet.Versioned;
import org.junit.jupiter.api.Test;

class DutyElectionTest {

    private static final Instant START = Instant.ofEpochSecond(1_000);
    private static final DutySettings SETTINGS = DutySettings.DEFAULT;

    @Test
    void takesALapsedDutyWithAGreaterFence() {
        Instant lapsed = START.plus(SETTINGS.leaseDuration());

        DutyDecision decision = decide(held("other"), "self", true, lapsed);

        assertThat(decision).isInstanceOf(DutyDecision.Write.class);
        assertThat(((DutyDecision.Write) decision).row().fence()).isEqualTo(4);
        assertThat(((DutyDecision.Write) decision).conditions().getFirst().version()).isEqualTo(7);
    }

    @Test
    void waitsForTheLeaseAndForTheDataCentreThatGoesFirst() {
        Instant lapsed = START.plus(SETTINGS.leaseDuration());

        assertThat(decide(held("other"), "self", true, lapsed.minusMillis(1)))
                .isInstanceOf(DutyDecision.StandBy.class);
        assertThat(decide(held("other"), "self", false, lapsed))
                .isInstanceOf(DutyDecision.StandBy.class);
        assertThat(decide(held("other"), "self", false, lapsed.plus(SETTINGS.standbyDelay())))
                .isInstanceOf(DutyDecision.Write.class);
    }

    @Test
    void actsOnlyUnderAFreshLease() {
        Instant late = START.plus(SETTINGS.leaseDuration()).minus(SETTINGS.renewBefore());

        assertThat(decide(held("self"), "self", true, late.minusMillis(1)))
                .isInstanceOf(DutyDecision.Act.class);
        assertThat(decide(held("self"), "self", true, late)).isInstanceOf(DutyDecision.Write.class);
    }

    private static Versioned<DutyRow> held(String holder) {
        long expiry = START.plus(SETTINGS.leaseDuration()).toEpochMilli();
        return new Versioned<>(new DutyRow("waves", holder, 3, expiry), 7);
    }

    private static DutyDecision decide(
            Versioned<DutyRow> row, String self, boolean first, Instant now) {
        return DutyElection.decide("waves", Optional.of(row), self, first, SETTINGS, now);
    }
}
