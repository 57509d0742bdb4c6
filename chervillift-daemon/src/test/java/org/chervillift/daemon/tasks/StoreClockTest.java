package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Offset;
import org.chervillift.daemon.tasks.StoreClock.Stamp;
import org.junit.jupiter.api.Test;

class StoreClockTest {

    private static final long STORE_START_MILLIS = 5_000;
    private static final long DAY_MILLIS = 86_400_000;
    private static final long READING_INTERVAL_MILLIS = 1_000;
    private static final long PARTS_PER_MILLION = 1_000_000;
    private static final long LATENCY_MILLIS = 4;
    private static final Offset<Long> TOLERANCE = Offset.offset(20L);

    private static long processMillis(long storeElapsed, long driftPerMillion) {
        return storeElapsed + storeElapsed * driftPerMillion / PARTS_PER_MILLION;
    }

    private static Stamp stamp(long storeMillis, long sentAt, long arrivedAt) {
        return new Stamp(storeMillis, 1, sentAt, arrivedAt);
    }

    /** Returns the bounds after a day of answers that were stamped half-way. */
    private static StoreClock afterADay(long driftPerMillion) {
        StoreClock clock = StoreClock.UNKNOWN;
        for (long t = 0; t <= DAY_MILLIS; t += READING_INTERVAL_MILLIS) {
            long now = processMillis(t, driftPerMillion);
            clock =
                    clock.after(
                            stamp(
                                    STORE_START_MILLIS + t,
                                    now - LATENCY_MILLIS,
                                    now + LATENCY_MILLIS));
        }
        return clock;
    }

    /** Quartz clocks differ by 0.01%; clocks of virtual machines by more. */
    @Test
    void boundsFollowADriftingClock() {
        for (long drift : new long[] {-5_000, -100, 0, 100, 5_000}) {
            StoreClock clock = afterADay(drift);
            long now = processMillis(DAY_MILLIS, drift);
            assertThat(clock.earliestStoreMillis(now))
                    .as("drift %d", drift)
                    .isCloseTo(STORE_START_MILLIS + DAY_MILLIS, TOLERANCE);
            assertThat(clock.latestStoreMillis(now))
                    .as("drift %d", drift)
                    .isCloseTo(STORE_START_MILLIS + DAY_MILLIS, TOLERANCE);
            assertThat(clock.formerClockVersion()).as("drift %d", drift).isZero();
        }
    }

    @Test
    void delayedAnswerDoesNotSetTheClockBack() {
        StoreClock clock = StoreClock.UNKNOWN.after(stamp(STORE_START_MILLIS, 0, 0));
        for (long t = 2_000; t <= 10_000; t += 100) {
            clock = clock.after(stamp(STORE_START_MILLIS + t - 1_500, t - 1_600, t));
        }
        assertThat(clock.earliestStoreMillis(10_000))
                .isCloseTo(STORE_START_MILLIS + 10_000, TOLERANCE);
        assertThat(clock.latestStoreMillis(10_000))
                .isCloseTo(STORE_START_MILLIS + 10_000, TOLERANCE);
    }

    @Test
    void boundsAreThoseOfTheNewestAnswerAfterTheClockChanged() {
        for (long newMillis : new long[] {1, 50_000_000}) {
            StoreClock clock = StoreClock.UNKNOWN.after(stamp(1_000_000, 10_000, 10_004));
            Stamp newest = new Stamp(newMillis, 77, 20_000, 20_010);
            assertThat(clock.isContradictedBy(newest)).isTrue();

            StoreClock corrected = clock.after(newest);
            assertThat(corrected.earliestStoreMillis(20_010)).isEqualTo(newMillis);
            assertThat(corrected.latestStoreMillis(20_010)).isEqualTo(newMillis + 10);
            assertThat(corrected.formerClockVersion()).isEqualTo(77);
            assertThat(corrected.isContradictedBy(newest)).isFalse();
        }
    }

    /** A copy must not seem newer than the answer, nor older than the sending of the call. */
    @Test
    void answerWasStampedBetweenTheSendingAndTheArrival() {
        StoreClock clock = StoreClock.UNKNOWN.after(stamp(1_000_000, 10_000, 10_004));
        assertThat(clock.earliestStampedAt(stamp(1_000_504, 10_100, 10_600))).isEqualTo(10_504);
        assertThat(clock.earliestStampedAt(stamp(5_000_000, 10_100, 10_600))).isEqualTo(10_600);
        assertThat(clock.earliestStampedAt(stamp(1, 10_100, 10_600))).isEqualTo(10_100);
        assertThat(clock.earliestStampedAt(stamp(0, 10_100, 10_600))).isEqualTo(10_100);
        assertThat(StoreClock.UNKNOWN.earliestStampedAt(stamp(1, 10_100, 10_600)))
                .isEqualTo(10_100);
    }
}
