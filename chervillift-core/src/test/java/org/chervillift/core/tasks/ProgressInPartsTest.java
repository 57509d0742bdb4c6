package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.RunEnd;
import org.junit.jupiter.api.Test;

/** Tests how the progress of a job is stored in parts. */
class ProgressInPartsTest {

    private static final int TASKS = 40;
    private static final int PARTS_OF_TASKS = 3;

    private final SchedulerFixture fixture = new SchedulerFixture();

    /** Crashes the worker of all tasks; their next starts are held until that is stored. */
    private void crashUnderAllTasks() {
        fixture.addWorker("w1", 1_000 * TASKS);
        fixture.accept("a", SchedulerFixture.step(TASKS, 1_000));
        assertThat(fixture.starts()).hasSize(TASKS);
        fixture.store();
        fixture.runningByWorker.clear();
        fixture.scheduler.workerUnlisted("w1");
        fixture.scheduler.workerLifetimeEnded("w1", fixture.now, fixture.now);
        fixture.addWorker("w2", 1_000 * TASKS);
        assertThat(plan()).isEmpty();
    }

    private List<Order> plan() {
        return fixture.scheduler.plan(fixture.now, fixture.now);
    }

    private void moveToParts() {
        crashUnderAllTasks();
        fixture.scheduler.storeInParts("a");
        fixture.scheduler.markStored(fixture.scheduler.unstoredProgress());
    }

    @Test
    void theFirstRowIsReplacedAfterAllPartsAreStored() {
        crashUnderAllTasks();
        fixture.scheduler.storeInParts("a");
        List<ProgressRow> rows = fixture.scheduler.unstoredProgress().rows();
        assertThat(rows).hasSize(1 + PARTS_OF_TASKS + 1);
        assertThat(rows.subList(0, rows.size() - 1)).hasOnlyElementsOfType(ProgressRow.Part.class);
        assertThat(rows.getLast()).isInstanceOf(ProgressRow.Head.class);
    }

    /** A new holder reads the old row until the new one is stored. */
    @Test
    void noTaskStartsWhileAJobMovesToParts() {
        crashUnderAllTasks();
        fixture.scheduler.storeInParts("a");
        UnstoredProgress unstored = fixture.scheduler.unstoredProgress();
        fixture.scheduler.markStored(unstored, unstored.rows().size() - 1);
        assertThat(plan()).isEmpty();

        fixture.scheduler.markStored(fixture.scheduler.unstoredProgress());
        assertThat(plan()).hasSize(TASKS);
    }

    @Test
    void onlyChangedPartsAreStoredAgain() {
        moveToParts();
        assertThat(fixture.starts()).hasSize(TASKS);
        fixture.end("w2", fixture.runningByWorker.get("w2").getFirst().task(), RunEnd.FAILED);
        fixture.report("w2");
        assertThat(fixture.scheduler.unstoredProgress().rows())
                .singleElement()
                .isInstanceOfSatisfying(
                        ProgressRow.Part.class, p -> assertThat(p.number()).isZero());
    }

    /** An end that is acknowledged is not reported again, so the new holder would not know it. */
    @Test
    void endsAreAcknowledgedOnceAllRowsThatTheyChangedAreStored() {
        moveToParts();
        fixture.starts();
        fixture.endAll("w2", RunEnd.FAILED);
        UnstoredProgress first = fixture.scheduler.unstoredProgress(2);
        assertThat(first.hasMoreChanged()).isTrue();
        fixture.scheduler.markStored(first);
        assertThat(fixture.scheduler.acknowledgedEnd("w2")).isZero();

        fixture.scheduler.markStored(fixture.scheduler.unstoredProgress(2));
        assertThat(fixture.scheduler.acknowledgedEnd("w2")).isEqualTo(TASKS);
    }

    /** The ends came before the job was moved, and only the rows of others were stored since. */
    @Test
    void endsAreNotAcknowledgedWhileTheirJobMovesToParts() {
        fixture.addWorker("w1", 1_000 * TASKS);
        fixture.accept("a", SchedulerFixture.step(TASKS, 1_000));
        fixture.starts();
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        fixture.scheduler.cancel("b", fixture.now);
        fixture.endAll("w1", RunEnd.FAILED);
        UnstoredProgress others = fixture.scheduler.unstoredProgress(1);
        assertThat(others.rows()).extracting(ProgressRow::jobId).containsExactly("b");
        fixture.scheduler.markStored(others);
        fixture.scheduler.storeInParts("a");
        fixture.scheduler.markStored(fixture.scheduler.unstoredProgress(1));
        assertThat(fixture.scheduler.acknowledgedEnd("w1")).isZero();

        fixture.store();
        assertThat(fixture.scheduler.acknowledgedEnd("w1")).isEqualTo(TASKS);
    }

    /** The parts say no more that tasks are done, and the row does not say so yet. */
    @Test
    void endsAreNotAcknowledgedBeforeTheEndOfTheirJobIsStored() {
        moveToParts();
        fixture.starts();
        fixture.end("w2", fixture.runningByWorker.get("w2").getFirst().task(), RunEnd.DONE);
        fixture.report("w2");
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        fixture.scheduler.cancel("b", fixture.now);
        fixture.scheduler.markStored(fixture.scheduler.unstoredProgress(2), 1);
        fixture.endAll("w2", RunEnd.DONE);
        assertThat(fixture.scheduler.acknowledgedEnd("w2")).isZero();
        UnstoredProgress end = fixture.scheduler.unstoredProgress();
        fixture.scheduler.markStored(end, 0);
        assertThat(fixture.scheduler.acknowledgedEnd("w2")).isZero();

        fixture.store();
        assertThat(fixture.scheduler.acknowledgedEnd("w2")).isEqualTo(TASKS);
    }

    @Test
    void theRowsOfOtherJobsGoBeforeTheParts() {
        moveToParts();
        fixture.starts();
        fixture.endAll("w2", RunEnd.FAILED);
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        fixture.scheduler.cancel("b", fixture.now);
        assertThat(fixture.scheduler.unstoredProgress(2).rows())
                .extracting(ProgressRow::jobId)
                .containsExactly("b", "a");
    }

    /**
     * The index after the last task of the part overflowed, and no progress was stored any more.
     */
    @Test
    void theLastPartOfTheLargestStepIsStored() {
        int last = Integer.MAX_VALUE - 1;
        fixture.accept("a", SchedulerFixture.step(Integer.MAX_VALUE, 1_000));
        JobProgress.StepProgress done =
                new JobProgress.StepProgress(
                        0,
                        0,
                        List.of(),
                        List.of(),
                        List.of(SchedulerFixture.POOL),
                        List.of(new JobProgress.IndexRange(0, last - 1)));
        fixture.scheduler.restore("a", new JobProgress(1, JobState.RUNNING, List.of(done)));
        fixture.now += SchedulerFixture.LEASE_MILLIS + 1;
        fixture.addWorker("w1", 1_000);
        assertThat(fixture.starts()).extracting(s -> s.task().index()).containsExactly(last);
        fixture.endAll("w1", RunEnd.FAILED);
        fixture.scheduler.storeInParts("a");
        assertThat(fixture.scheduler.unstoredProgress().rows()).hasSize(3);
    }

    @Test
    void aJobThatEndsIsStoredInOneRow() {
        moveToParts();
        fixture.starts();
        fixture.endAll("w2", RunEnd.DONE);
        List<ProgressRow> rows = fixture.scheduler.unstoredProgress().rows();
        assertThat(rows).singleElement().isInstanceOf(ProgressRow.Whole.class);
        assertThat(rows.getFirst().endsJob()).isTrue();
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }
}
