package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.chervillift.core.tasks.JobProgress.StartedRun;
import org.chervillift.core.tasks.JobProgress.TaskCrashes;
import org.junit.jupiter.api.Test;

/** Tests what is kept of the crashes under a task. */
class CrashHistoryTest {

    private static final int MANY = 1_000;
    private static final int MOST_KEPT = 16;
    private static final Run.Crash ALONE = new Run.Crash(true, 1);
    private static final Run.Crash BESIDE_OTHERS = new Run.Crash(false, 0.5);

    private final CrashHistory history = new CrashHistory(true);

    /** The row of a service whose workers crash again and again grew without a bound. */
    @Test
    void onlyTheNewestCrashesAreKept() {
        for (int run = 1; run <= MANY; run++) {
            assertThat(history.record(run, BESIDE_OTHERS)).isTrue();
            assertThat(history.recordUnconfirmed(run, BESIDE_OTHERS)).isTrue();
        }
        TaskCrashes stored = history.toStored(List.of());
        assertThat(stored.confirmed()).hasSize(MOST_KEPT).last().isEqualTo(MANY);
        assertThat(stored.unconfirmed()).hasSize(MOST_KEPT).last().isEqualTo(MANY);
        assertThat(history.isExhausted(CrashHistory.MAX_CRASHES)).isFalse();
    }

    @Test
    void theNewestCrashMustBeStoredBeforeTheNextStart() {
        for (int run = 1; run <= MANY; run++) {
            history.record(run, BESIDE_OTHERS);
        }
        StartedRun next = new StartedRun(MANY + 2, "w1", 1);
        history.markStored(history.toStored(List.of(next)));
        assertThat(history.isStartStored(MANY + 2)).isTrue();
        history.record(MANY + 1, BESIDE_OTHERS);
        assertThat(history.isStartStored(MANY + 2)).isFalse();
    }

    /** A harmless task was given up after three crashes by chance where those were frequent. */
    @Test
    void whereCrashesAreFrequentATaskMayMeetMoreOfThem() {
        CrashHistory task = new CrashHistory(false);
        IntStream.rangeClosed(1, 3).forEach(run -> task.record(run, ALONE));
        assertThat(task.isExhausted(2)).isTrue();
        assertThat(task.isExhausted(4)).isFalse();
        task.record(4, ALONE);
        assertThat(task.isExhausted(4)).isTrue();
        assertThat(task.isExhausted(9)).isFalse();
        task.record(5, ALONE);
        assertThat(task.isExhausted(9)).isTrue();
    }

    /** Losses that may be crashes use up the starts that a task has beyond the third crash. */
    @Test
    void lossesThatAreNotExplainedLowerTheLimit() {
        CrashHistory task = new CrashHistory(false);
        IntStream.rangeClosed(1, 3).forEach(run -> task.record(run, ALONE));
        task.recordUnexplainedLoss(4);
        assertThat(task.isExhausted(9)).isFalse();
        task.recordUnexplainedLoss(5);
        assertThat(task.isExhausted(9)).isTrue();
    }

    /** A crash that was told twice counted twice in the rate, and then more than all attempts. */
    @Test
    void aCrashThatIsToldTwiceHasOneShare() {
        history.record(1, BESIDE_OTHERS);
        history.record(1, BESIDE_OTHERS);
        assertThat(history.crashShare()).isEqualTo(0.5);
    }
}
