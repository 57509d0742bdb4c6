package org.chervillift.core.tasks.vms;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against VMs that are ordered late in a surge, and against VMs for surges that do not come.
 */
class SurgeForecastTest {

    private static final int ROUND_MILLIS = 100;
    private static final long PEAK = 100_000;
    private static final long LOW = 1_000;

    private SurgeForecast forecast = new SurgeForecast(Map.of(), b -> {});
    private boolean rising = true;
    private long now;

    /** Feeds a rate for some time; returns the last forecast. */
    private long feed(long rate, int millis) {
        long last = 0;
        for (int t = 0; t < millis; t += ROUND_MILLIS) {
            last = forecast.update("p", rate, rising, now);
            now += ROUND_MILLIS;
        }
        return last;
    }

    @Test
    void theSecondSurgeIsProvidedForInFullWhenItBegins() {
        feed(PEAK, 8_000);
        feed(LOW, 20_000);
        assertThat(feed(PEAK / 3, ROUND_MILLIS)).isBetween(PEAK * 9 / 10, PEAK);
    }

    @Test
    void theNextHolderForecastsFromTheStoredPeak() {
        feed(PEAK, 8_000);
        forecast = new SurgeForecast(forecast.rates(), b -> {});
        assertThat(feed(PEAK / 3, ROUND_MILLIS)).isBetween(PEAK * 9 / 10, PEAK);
    }

    @Test
    void aSmallerSurgeIsFollowedOnceItsRateIsKnown() {
        feed(PEAK, 8_000);
        feed(LOW, 20_000);
        assertThat(feed(PEAK / 3, 3_000)).isEqualTo(PEAK / 3);
        feed(0, ROUND_MILLIS);
        assertThat(forecast.rates().get("p")).isBetween(PEAK * 3 / 10, PEAK / 3);
    }

    @Test
    void theFirstSurgeAndATroughAreFollowedAsTheyAre() {
        assertThat(feed(PEAK, ROUND_MILLIS)).isEqualTo(PEAK);
        feed(PEAK, 8_000);
        assertThat(feed(LOW, 20_000)).isEqualTo(LOW);
    }

    @Test
    void aSingleLargeJobIsNoSurge() {
        feed(PEAK, 8_000);
        feed(LOW, 20_000);
        rising = false;
        assertThat(feed(PEAK / 2, ROUND_MILLIS)).isEqualTo(PEAK / 2);
    }

    @Test
    void aShortPeakWithinASurgeIsNotProvidedForAgain() {
        feed(PEAK, 4_000);
        feed(PEAK * 4, 2 * ROUND_MILLIS);
        feed(PEAK, 4_000);
        feed(LOW, 20_000);
        assertThat(feed(PEAK / 2, ROUND_MILLIS)).isLessThan(PEAK * 6 / 5);
    }

    @Test
    void aFewJobsAtOnceAreNoSurge() {
        feed(PEAK, 8_000);
        feed(LOW, 20_000);
        feed(PEAK * 4, 2 * ROUND_MILLIS);
        feed(LOW, 20_000);
        assertThat(feed(PEAK / 2, ROUND_MILLIS)).isLessThan(PEAK * 6 / 5);
    }
}
