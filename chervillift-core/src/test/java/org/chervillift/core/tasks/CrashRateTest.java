package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests how many crashes in a row point to a task, by how often workers crash by chance. */
class CrashRateTest {

    private final CrashRate rate = new CrashRate();

    @Test
    void withoutCrashesByChanceThreePointToATask() {
        assertThat(rate.crashesBeyondChance()).isLessThanOrEqualTo(CrashHistory.MAX_CRASHES);
        doneTasks(500, 0);
        assertThat(rate.crashesBeyondChance()).isLessThanOrEqualTo(CrashHistory.MAX_CRASHES);
    }

    @Test
    void theMoreCrashesByChanceTheMorePointToATask() {
        doneTasks(92, 0);
        doneTasks(8, 1);
        assertThat(rate.crashesBeyondChance()).isEqualTo(4);
        doneTasks(80, 0);
        doneTasks(30, 1);
        assertThat(rate.crashesBeyondChance()).isEqualTo(5);
        doneTasks(100, 1);
        assertThat(rate.crashesBeyondChance()).isGreaterThan(5);
    }

    /** The runs that a task took along with its workers made crashes look frequent. */
    @Test
    void aCrashIsCountedOnceHoweverManyRunsItEnds() {
        doneTasks(80, 0);
        IntStream.range(0, 14).forEach(i -> rate.recordDone(1, 1.0 / 8));
        assertThat(rate.crashesBeyondChance()).isLessThanOrEqualTo(CrashHistory.MAX_CRASHES);
    }

    @Test
    void crashesOfLongAgoNoLongerCount() {
        doneTasks(300, 1);
        doneTasks(30_000, 0);
        assertThat(rate.crashesBeyondChance()).isLessThanOrEqualTo(CrashHistory.MAX_CRASHES);
    }

    private void doneTasks(int count, int crashes) {
        IntStream.range(0, count).forEach(i -> rate.recordDone(crashes, crashes));
    }
}
