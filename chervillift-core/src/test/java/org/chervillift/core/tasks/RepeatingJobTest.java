package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.junit.jupiter.api.Test;

/** Tests jobs that repeat often: their progress outgrew the row in which it is stored. */
class RepeatingJobTest {

    private static final int OCCURRENCES = 240;
    private static final int LISTED = JobSizeLimits.MAX_LISTED_OCCURRENCES;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private static AcceptedJob job() {
        JobSpec spec =
                new JobSpec(
                        "a",
                        "payload",
                        List.of(SchedulerFixture.step(1, 1_000), SchedulerFixture.step(1, 1_000)),
                        new Schedule(OCCURRENCES, 1, 1));
        return new AcceptedJob(spec, SchedulerFixture.QUEUE_POLICY, SchedulerFixture.CUSTOMER, 0);
    }

    private static int endRound(SchedulerFixture fixture) {
        int starts = fixture.starts().size();
        fixture.endAll("w1", RunEnd.DONE);
        fixture.store();
        return starts;
    }

    @Test
    void theProgressOfAJobThatRepeatsOftenDoesNotGrowWithItsOccurrences() {
        fixture.addWorker("w1", 2_000);
        fixture.scheduler.accept(job(), 0, fixture.now);
        int starts = 0;
        for (int round = 0; round < OCCURRENCES; round++) {
            starts += endRound(fixture);
            assertThat(fixture.lastStored.get("a").steps()).hasSizeLessThanOrEqualTo(2 * LISTED);
        }
        assertThat(starts).isEqualTo(2 * OCCURRENCES);
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void aNewHolderDoesNotRunOccurrencesAgainThatAreDone() {
        fixture.addWorker("w1", 2_000);
        fixture.scheduler.accept(job(), 0, fixture.now);
        int starts = 0;
        for (int round = 0; round < OCCURRENCES / 2; round++) {
            starts += endRound(fixture);
        }
        JobProgress stored = fixture.lastStored.get("a");
        assertThat(stored.doneOccurrences())
                .containsExactly(new IndexRange(0, OCCURRENCES / 2 - 1));

        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.scheduler.accept(job(), 0, successor.now);
        successor.scheduler.restore("a", stored);
        successor.addWorker("w1", 2_000);
        for (int round = 0; round < OCCURRENCES / 2; round++) {
            starts += endRound(successor);
        }
        assertThat(starts).isEqualTo(2 * OCCURRENCES);
        assertThat(successor.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }
}
