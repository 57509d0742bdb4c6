package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.junit.jupiter.api.Test;

/** Tests the stored list of the workers that may have runs, for which a new holder waits. */
class WorkerListWriteTest {

    private static final String JOB = "5c0e7a21d94b36f8";

    private final NodeFixture fixture = new NodeFixture();

    private void addWorker(String id) {
        fixture.addWorker(id, "vm-" + id, NodeFixture.POOL, 1_000);
    }

    private String storedList() {
        CompletionStage<RowStore.Page> page =
                fixture.store.scan(
                        StoreLayout.WORKERS_KEY.table(),
                        StoreLayout.HOLDER_PARTITION,
                        RowStore.KeyRange.ALL);
        fixture.advanceMillis(100);
        return page.toCompletableFuture().join().rows().stream()
                .filter(r -> r.key().equals(StoreLayout.WORKERS_KEY))
                .map(Row::value)
                .findFirst()
                .orElse("");
    }

    /** The late write had no condition on its row, so that later workers fell off the list. */
    @Test
    void aLateWriteOfTheListDoesNotTakeLaterWorkersOffIt() {
        addWorker("w1");
        TaskNode node = fixture.startNodeAndWait("a");
        fixture.delayingStore.hold(w -> w.key().equals(StoreLayout.WORKERS_KEY));
        addWorker("w2");
        fixture.advanceMillis(300);
        assertThat(fixture.delayingStore.heldCount()).isPositive();

        fixture.delayingStore.stopHolding();
        addWorker("w3");
        fixture.advanceMillis(2_000);
        assertThat(storedList()).contains("w3");
        fixture.delayingStore.releaseHeld();
        fixture.advanceMillis(1_000);
        assertThat(storedList()).contains("w1", "w2", "w3");

        fixture.ask(node, JobRequest.Action.SUBMIT, JOB);
        fixture.advanceMillis(2_000);
        assertThat(fixture.ask(node, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
    }
}
