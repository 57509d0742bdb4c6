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

    private final CrashHistory history = new CrashHistory(true);

    /** The row of a service whose workers crash again and again grew without a bound. */
    @Test
    void onlyTheNewestCrashesAreKept() {
        for (int run = 1; run <= MANY; run++) {
            assertThat(history.record(run, false)).isTrue();
            assertThat(history.recordUnconfirmed(run)).isTrue();
        }
        TaskCrashes stored = history.toStored(List.of());
        assertThat(stored.confirmed()).hasSize(MOST_KEPT).last().isEqualTo(MANY);
        assertThat(stored.unconfirmed()).hasSize(MOST_KEPT).last().isEqualTo(MANY);
        assertThat(history.isExhausted(CrashHistory.MAX_CRASHES)).isFalse();
    }

    @Test
    void theNewestCrashMustBeStoredBeforeTheNextStart() {
        for (int run = 1; run <= MANY; run++) {
            history.record(run, false);
        }
        StartedRun next = new StartedRun(MANY + 2, "w1", 1);
        history.markStored(history.toStored(List.of(next)));
        assertThat(history.isStartStored(MANY + 2)).isTrue();
        history.record(MANY + 1, false);
        assertThat(history.isStartStored(MANY + 2)).isFalse();
    }

    /** A harmless task was given up after three crashes by chance where those were frequent. */
    @Test
    void whereCrashesAreFrequentATaskMayMeetMoreOfThem() {
        CrashHistory task = new CrashHistory(false);
        IntStream.rangeClosed(1, 3).forEach(run -> task.record(run, true));
        assertThat(task.isExhausted(2)).isTrue();
        assertThat(task.isExhausted(4)).isFalse();
        task.record(4, true);
        assertThat(task.isExhausted(4)).isTrue();
        assertThat(task.isExhausted(9)).isFalse();
        task.record(5, true);
        assertThat(task.isExhausted(9)).isTrue();
    }

    /** Losses that may be crashes use up the starts that a task has beyond the third crash. */
    @Test
    void lossesThatAreNotExplainedLowerTheLimit() {
        CrashHistory task = new CrashHistory(false);
        IntStream.rangeClosed(1, 3).forEach(run -> task.record(run, true));
        task.recordUnexplainedLoss(4);
        assertThat(task.isExhausted(9)).isFalse();
        task.recordUnexplainedLoss(5);
        assertThat(task.isExhausted(9)).isTrue();
    }
}
