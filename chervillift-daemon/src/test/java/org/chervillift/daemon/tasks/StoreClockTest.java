package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

class StoreClockTest {

    private static final long STORE_START = 5_000;
    private static final long DAY_MILLIS = 86_400_000;
    private static final long EVERY_MILLIS = 1_000;
    private static final Offset<Long> CLOSE = Offset.offset(20L);

    /** The process's clock gains 0.01%, as quartz clocks do. */
    @Test
    void aFastClockOfTheProcessDoesNotRunAwayFromTheStores() {
        StoreClock clock = StoreClock.UNKNOWN;
        for (long t = 0; t <= DAY_MILLIS; t += EVERY_MILLIS) {
            clock = clock.orBetter(new StoreClock(STORE_START + t, local(t, 1)));
        }
        assertThat(clock.at(local(DAY_MILLIS, 1))).isCloseTo(STORE_START + DAY_MILLIS, CLOSE);
    }

    @Test
    void aSlowClockOfTheProcessDoesNotFallBehindTheStores() {
        StoreClock clock = StoreClock.UNKNOWN;
        for (long t = 0; t <= DAY_MILLIS; t += EVERY_MILLIS) {
            clock = clock.orBetter(new StoreClock(STORE_START + t, local(t, -1)));
        }
        assertThat(clock.at(local(DAY_MILLIS, -1))).isCloseTo(STORE_START + DAY_MILLIS, CLOSE);
    }

    @Test
    void anAnswerThatWasLongOnItsWayDoesNotPutTheClockBack() {
        StoreClock clock = StoreClock.UNKNOWN.orBetter(new StoreClock(STORE_START, 0));
        for (long t = 100; t <= 10_000; t += 100) {
            clock = clock.orBetter(new StoreClock(STORE_START + t - 1_500, t));
        }
        assertThat(clock.at(10_000)).isCloseTo(STORE_START + 10_000, CLOSE);
    }

    private static long local(long storeElapsed, long gainPerTenThousand) {
        return storeElapsed + storeElapsed * gainPerTenThousand / 10_000;
    }
}
