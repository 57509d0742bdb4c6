package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

class StoreClockTest {

    private static final long STORE_START_MILLIS = 5_000;
    private static final long DAY_MILLIS = 86_400_000;
    private static final long READING_INTERVAL_MILLIS = 1_000;
    private static final Offset<Long> TOLERANCE = Offset.offset(20L);

    /** The process's clock runs 0.01% fast, as quartz clocks do. */
    @Test
    void estimateDoesNotRunAheadWithAFastProcessClock() {
        StoreClock clock = StoreClock.UNKNOWN;
        for (long t = 0; t <= DAY_MILLIS; t += READING_INTERVAL_MILLIS) {
            clock =
                    clock.moreAccurateOf(
                            new StoreClock(STORE_START_MILLIS + t, processMillis(t, 1)));
        }
        assertThat(clock.storeMillisAt(processMillis(DAY_MILLIS, 1)))
                .isCloseTo(STORE_START_MILLIS + DAY_MILLIS, TOLERANCE);
    }

    @Test
    void estimateDoesNotFallBehindWithASlowProcessClock() {
        StoreClock clock = StoreClock.UNKNOWN;
        for (long t = 0; t <= DAY_MILLIS; t += READING_INTERVAL_MILLIS) {
            clock =
                    clock.moreAccurateOf(
                            new StoreClock(STORE_START_MILLIS + t, processMillis(t, -1)));
        }
        assertThat(clock.storeMillisAt(processMillis(DAY_MILLIS, -1)))
                .isCloseTo(STORE_START_MILLIS + DAY_MILLIS, TOLERANCE);
    }

    @Test
    void delayedAnswerDoesNotSetTheClockBack() {
        StoreClock clock = StoreClock.UNKNOWN.moreAccurateOf(new StoreClock(STORE_START_MILLIS, 0));
        for (long t = 100; t <= 10_000; t += 100) {
            clock = clock.moreAccurateOf(new StoreClock(STORE_START_MILLIS + t - 1_500, t));
        }
        assertThat(clock.storeMillisAt(10_000)).isCloseTo(STORE_START_MILLIS + 10_000, TOLERANCE);
    }

    private static long processMillis(long storeElapsed, long driftPerTenThousand) {
        return storeElapsed + storeElapsed * driftPerTenThousand / 10_000;
    }
}
