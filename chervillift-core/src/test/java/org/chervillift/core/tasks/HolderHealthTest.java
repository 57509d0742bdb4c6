package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class HolderHealthTest {

    private static final long CHECK_MILLIS = 100;

    private final HolderHealth health = new HolderHealth(0);

    /** Checks as often as a holder does; returns when a silence was found first, or -1. */
    private long firstSilence(long from, long until) {
        for (long now = from; now <= until; now += CHECK_MILLIS) {
            if (health.check(now).isPresent()) {
                return now;
            }
        }
        return -1;
    }

    @Test
    void partThatHasStoppedIsFoundAndNamed() {
        health.recordProgress("planning", 0);
        health.recordProgress("jobs", 14_000);
        assertThat(firstSilence(0, 15_000)).isEqualTo(-1);
        assertThat(health.check(15_100)).contains(new HolderHealth.Silence("planning", 15_100));
        health.forget("planning");
        assertThat(health.check(15_200)).isEmpty();
    }

    /** A process that was paused would have replaced a holder whose loops had just not run. */
    @Test
    void timeInWhichTheProcessWasPausedIsNotCounted() {
        health.recordProgress("planning", 0);
        health.check(CHECK_MILLIS);
        assertThat(firstSilence(20_000, 34_900)).isEqualTo(-1);
        assertThat(firstSilence(35_000, 36_000)).isEqualTo(35_100);
    }

    @Test
    void pausesBetweenReplacementsGrowAndStartAnew() {
        HolderReplacement replacement = new HolderReplacement();
        assertThat(replacement.mayTakeOver(0)).isTrue();
        replacement.recordGivenUp(0);
        assertThat(replacement.mayTakeOver(4_999)).isFalse();
        assertThat(replacement.mayTakeOver(5_000)).isTrue();
        replacement.recordGivenUp(20_000);
        assertThat(replacement.mayTakeOver(29_999)).isFalse();
        assertThat(replacement.mayReplace(30_000, 39_999)).isFalse();
        assertThat(replacement.mayReplace(30_000, 40_000)).isTrue();
        replacement.recordGivenUp(700_000);
        assertThat(replacement.mayTakeOver(705_000)).isTrue();
    }
}
