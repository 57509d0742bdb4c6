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
    void acquiresAnExpiredLeaseWithAHigherFencingToken() {
        Instant expired = START.plus(SETTINGS.leaseDuration());

        DutyDecision decision = decide(rowHeldBy("other"), "self", true, expired);

        assertThat(decision).isInstanceOf(DutyDecision.Write.class);
        assertThat(((DutyDecision.Write) decision).row().fence()).isEqualTo(4);
        assertThat(((DutyDecision.Write) decision).conditions().getFirst().version()).isEqualTo(7);
    }

    @Test
    void waitsForTheExpiryAndForThePreferredDataCentre() {
        Instant expired = START.plus(SETTINGS.leaseDuration());

        assertThat(decide(rowHeldBy("other"), "self", true, expired.minusMillis(1)))
                .isInstanceOf(DutyDecision.StandBy.class);
        assertThat(decide(rowHeldBy("other"), "self", false, expired))
                .isInstanceOf(DutyDecision.StandBy.class);
        assertThat(decide(rowHeldBy("other"), "self", false, expired.plus(SETTINGS.standbyDelay())))
                .isInstanceOf(DutyDecision.Write.class);
    }

    @Test
    void renewsTheLeaseBeforeItExpiresInsteadOfActing() {
        Instant renewalDue = START.plus(SETTINGS.leaseDuration()).minus(SETTINGS.renewBefore());

        assertThat(decide(rowHeldBy("self"), "self", true, renewalDue.minusMillis(1)))
                .isInstanceOf(DutyDecision.Act.class);
        assertThat(decide(rowHeldBy("self"), "self", true, renewalDue))
                .isInstanceOf(DutyDecision.Write.class);
    }

    private static Versioned<DutyRow> rowHeldBy(String holder) {
        long expiry = START.plus(SETTINGS.leaseDuration()).toEpochMilli();
        return new Versioned<>(new DutyRow("waves", holder, 3, expiry), 7);
    }

    private static DutyDecision decide(
            Versioned<DutyRow> row, String self, boolean preferred, Instant now) {
        return DutyElection.decide("waves", Optional.of(row), self, preferred, SETTINGS, now);
    }
}
