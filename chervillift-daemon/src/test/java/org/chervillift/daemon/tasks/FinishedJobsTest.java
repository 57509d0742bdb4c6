package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.junit.jupiter.api.Test;

/**
 * Tests what becomes of finished jobs: they were never removed, so that holders ran out of memory.
 */
class FinishedJobsTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final String LASTING = "5c0e7a21d94b36f9";
    private static final long KEEP_MILLIS = 120_000;
    private static final long REMOVAL_MILLIS = 20_000;
    private static final JobAnswer COMPLETED =
            new JobAnswer.State(JobStatus.of(JobState.COMPLETED));

    private final NodeFixture fixture = new NodeFixture();
    private final TaskNode holder;
    private final TaskNode other;

    FinishedJobsTest() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 10_000);
        holder = fixture.startNodeAndWait("a");
        other = fixture.startNodeAndWait("b");
    }

    private void complete(String id) {
        fixture.ask(other, JobRequest.Action.SUBMIT, id);
        fixture.advanceMillis(3_000);
        assertThat(read(other, id)).isEqualTo(COMPLETED);
    }

    private JobAnswer read(TaskNode node, String id) {
        return fixture.ask(node, JobRequest.Action.READ, id);
    }

    private int rowCount() {
        int rows = rows(StoreLayout.PROGRESS_TABLE, StoreLayout.HOLDER_PARTITION);
        for (String partition : StoreLayout.JOB_PARTITIONS) {
            rows += rows(StoreLayout.JOBS_TABLE, partition);
        }
        return rows;
    }

    private int rows(String table, String partition) {
        var page = fixture.store.scan(table, partition, KeyRange.ALL).toCompletableFuture();
        fixture.advanceMillis(20);
        RowStore.Page rows = page.join();
        return rows.rows().size();
    }

    @Test
    void aFinishedJobIsToldForTheTimePromisedAndThenRemoved() {
        complete(JOB);
        fixture.advanceMillis(KEEP_MILLIS - 4_000);
        assertThat(read(holder, JOB)).isEqualTo(COMPLETED);
        assertThat(rowCount()).isEqualTo(2);

        fixture.advanceMillis(REMOVAL_MILLIS);
        assertThat(rowCount()).isZero();
        assertThat(read(holder, JOB)).isEqualTo(new JobAnswer.NoSuchJob());
    }

    @Test
    void aRemovedJobIsNotToldAsWaitingByAProcessThatRemembersIt() {
        fixture.ask(other, JobRequest.Action.SUBMIT, JOB);
        fixture.advanceMillis(KEEP_MILLIS + REMOVAL_MILLIS);
        assertThat(rowCount()).isZero();
        assertThat(read(other, JOB)).isEqualTo(new JobAnswer.NoSuchJob());
    }

    @Test
    void aCancelledJobIsRemovedWithItsCancellation() {
        fixture.ask(other, JobRequest.Action.SUBMIT, JOB);
        fixture.ask(other, JobRequest.Action.CANCEL, JOB);
        fixture.advanceMillis(2_000);
        assertThat(rowCount()).isEqualTo(3);
        fixture.advanceMillis(KEEP_MILLIS + REMOVAL_MILLIS);
        assertThat(rowCount()).isZero();
    }

    @Test
    void aNewHolderRemovesTheJobsThatItsPredecessorEnded() {
        complete(JOB);
        holder.drain();
        fixture.advanceMillis(KEEP_MILLIS - 4_000);
        assertThat(read(other, JOB)).isEqualTo(COMPLETED);
        fixture.advanceMillis(REMOVAL_MILLIS);
        assertThat(rowCount()).isZero();
        assertThat(fixture.fleet.starts()).hasSize(1);
    }

    @Test
    void aJobWhoseRemovalWasCutOffIsNotRunAgain() {
        complete(JOB);
        fixture.delayingStore.hold(
                w -> w.key().table().equals(StoreLayout.PROGRESS_TABLE) && w.value().isEmpty());
        fixture.advanceMillis(KEEP_MILLIS + REMOVAL_MILLIS);
        assertThat(rowCount()).isEqualTo(1);
        holder.drain();
        fixture.delayingStore.stopHolding();
        fixture.advanceMillis(KEEP_MILLIS + 2 * REMOVAL_MILLIS);
        assertThat(rowCount()).isZero();
        assertThat(fixture.fleet.starts()).hasSize(1);
    }

    @Test
    void aJobThatStillRunsIsKept() {
        fixture.await(
                other.answer(
                        NodeFixture.request(
                                JobRequest.Action.SUBMIT, LASTING, NodeFixture.KEY, 4_000)));
        fixture.advanceMillis(KEEP_MILLIS + REMOVAL_MILLIS);
        assertThat(read(other, LASTING))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.RUNNING)));
    }
}
