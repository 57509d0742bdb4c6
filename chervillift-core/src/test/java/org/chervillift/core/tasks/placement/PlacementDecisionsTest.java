package org.chervillift.core.tasks.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.chervillift.api.tasks.Resources;
import org.junit.jupiter.api.Test;

/** Tests the bounds of waits for a rack and of copies with plain numbers. */
class PlacementDecisionsTest {

    private static final long FAR_AWAY = 1_000_000;

    private static RackWait wait(OptionalLong idleSince, long latestStart) {
        return new RackWait(2, 10_000, 1_000, idleSince, FAR_AWAY, latestStart);
    }

    /** Guards against a wait that each new expectation prolongs. */
    @Test
    void aWaitEndsAtTheGainCountedFromItsBeginning() {
        RackWait wait = wait(OptionalLong.empty(), FAR_AWAY);
        assertThat(wait.endsAt()).isEqualTo(11_000);
        assertThat(wait.pays(10_999, 10_500)).isTrue();
        assertThat(wait.pays(11_000, 10_500)).isFalse();
        assertThat(wait.mayPay(11_000)).isFalse();
    }

    /** Guards against a wait that lasts until the job counts as standing still. */
    @Test
    void aWaitWhileNothingRunsEndsWellBeforeAStandstill() {
        assertThat(wait(OptionalLong.of(0), FAR_AWAY).endsAt()).isEqualTo(2_500);
        assertThat(wait(OptionalLong.of(4_000), FAR_AWAY).endsAt()).isEqualTo(5_500);
    }

    /** Guards against a wait that makes a job miss its objective. */
    @Test
    void aWaitEndsAtTheLatestStart() {
        assertThat(wait(OptionalLong.empty(), 3_000).pays(3_000, 1_000)).isFalse();
        assertThat(wait(OptionalLong.empty(), 3_000).pays(2_999, 1_000)).isTrue();
    }

    /** Guards against waits of all tasks for a rack that cannot serve them all. */
    @Test
    void aPlaceThatOthersWantSoonIsWorthLess() {
        RackWait wait = new RackWait(3, 1_000, 0, OptionalLong.empty(), 250, FAR_AWAY);
        assertThat(wait.pays(499, 0)).isTrue();
        assertThat(wait.pays(500, 0)).isFalse();
    }

    @Test
    void withoutAFactorOrAnEstimateNoWaitPays() {
        assertThat(new RackWait(1, 10_000, 0, OptionalLong.empty(), FAR_AWAY, FAR_AWAY).mayPay(0))
                .isFalse();
        assertThat(new RackWait(3, 0, 0, OptionalLong.empty(), FAR_AWAY, FAR_AWAY).mayPay(0))
                .isFalse();
    }

    /** Guards against room expected from runs that are paced to nothing, or have no estimate. */
    @Test
    void runsWithoutAnExpectationNeverEnd() {
        assertThat(RemainingTime.millis(0, 100, 100)).isEqualTo(RoomForecast.NEVER);
        assertThat(RemainingTime.millis(1_000, 100, 0)).isEqualTo(RoomForecast.NEVER);
        assertThat(RemainingTime.millis(1_000, 400, 50)).isEqualTo(1_200);
        assertThat(RemainingTime.millis(1_000, 3_000, 100)).isEqualTo(3_000);
    }

    /** Guards against room that counts for two tasks that wait. */
    @Test
    void aPlaceThatIsTakenIsFreeOnlyAfterItsTask() {
        Resources core = new Resources(1_000, 0, 0);
        RoomForecast forecast = new RoomForecast(core);
        forecast.take(core, 500);
        assertThat(forecast.firstRoomFor(core, 100)).isEqualTo(500);
        forecast.take(core, 900);
        assertThat(forecast.firstRoomFor(core, 100)).isEqualTo(900);
        assertThat(forecast.firstRoomFor(core.times(2), 100)).isEqualTo(RoomForecast.NEVER);
    }

    /** Guards against a copy of a run that is about to end. */
    @Test
    void aCopyPaysOnlyIfItEndsSooner() {
        CopyGain gain = new CopyGain(1_000, 500, 2_600, 1_600);
        assertThat(gain.pays(1_599)).isTrue();
        assertThat(gain.pays(1_600)).isFalse();
        assertThat(new CopyGain(1_000, 500, 2_500, 1_600).isLate()).isFalse();
        assertThat(new CopyGain(0, 0, 2_500, 1_600).isLate()).isFalse();
    }
}
