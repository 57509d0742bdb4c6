package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.chervillift.api.platform.Readiness;
import org.chervillift.api.platform.Readiness.State;
import org.junit.jupiter.api.Test;

/** Tests since when a process says that it is ready or not, and how often it logs that. */
class ReadinessTrackerTest {

    private static final Optional<String> NONE = Optional.empty();

    private final ReadinessTracker tracker = new ReadinessTracker(1_000);

    @Test
    void aStateLastsSinceItsFirstUpdate() {
        assertThat(tracker.update(State.OPERATOR_ROWS_UNREAD, NONE, 1_300).lasted().toMillis())
                .isEqualTo(300);
        assertThat(tracker.update(State.READY, NONE, 1_400).lasted().toMillis()).isZero();
        assertThat(tracker.update(State.READY, NONE, 1_900).lasted().toMillis()).isEqualTo(500);
        Readiness lost = tracker.update(State.STORE_UNRESPONSIVE, Optional.of("refused"), 2_000);
        assertThat(lost.isReady()).isFalse();
        assertThat(lost.lasted().toMillis()).isZero();
    }

    @Test
    void theSentenceSaysWhyAndForHowLong() {
        tracker.update(State.STORE_UNRESPONSIVE, Optional.of("refused"), 2_000);
        Readiness lost = tracker.update(State.STORE_UNRESPONSIVE, Optional.of("refused"), 3_250);
        assertThat(lost.sentence())
                .isEqualTo(
                        "not ready for 1250 ms: the store does not respond;"
                                + " last failure of the store: refused");
        assertThat(tracker.update(State.READY, NONE, 4_000).sentence()).isEqualTo("ready");
    }

    /** A daemon that was never ready wrote nothing after its first line. */
    @Test
    void aProcessThatIsNotReadySaysSoAgainAndAgain() {
        tracker.update(State.OPERATOR_ROWS_UNREAD, NONE, 1_000);
        assertThat(tracker.isLogDue(1_000)).isTrue();
        assertThat(tracker.isLogDue(5_999)).isFalse();
        assertThat(tracker.isLogDue(6_000)).isTrue();
        tracker.update(State.NO_CONFIGURATION, NONE, 6_200);
        assertThat(tracker.isLogDue(6_200)).isTrue();
        tracker.update(State.READY, NONE, 6_400);
        assertThat(tracker.isLogDue(6_400)).isTrue();
        assertThat(tracker.isLogDue(60_000)).isFalse();
    }
}
