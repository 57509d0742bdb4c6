package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class CancelledJobTest extends TaskNodeTestBase {

    private static final int TASK_COUNT = 24;
    private static final long CANCEL_WITHIN_MILLIS = 3_000;

    /** The holder keeps its lease, but receives no job changes, hence no cancellation. */
    @Test
    void noTaskStartsLongAfterCancellationThoughTheHolderReceivesNoChanges() {
        addWorker("w1", 1_000);
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        await(b.answer(request(Action.SUBMIT, JOB, "key", TASK_COUNT)));
        advanceMillis(1_000);
        faultyStore.setFeedsLost(true);
        advanceMillis(500);
        assertThat(ask(b, Action.CANCEL, JOB)).isInstanceOf(JobAnswer.Cancelled.class);

        advanceMillis(CANCEL_WITHIN_MILLIS);
        int startCount = fleet.starts().size();
        advanceMillis(4_000);
        assertThat(fleet.starts()).hasSize(startCount).hasSizeLessThan(TASK_COUNT);

        faultyStore.setFeedsLost(false);
        advanceMillis(4_000);
        assertThat(fleet.starts()).hasSize(startCount);
    }

    /** The holder suspends task starts while it receives no job changes, and resumes afterwards. */
    @Test
    void tasksStartAgainOnceJobChangesAreReceived() {
        addWorker("w1", 1_000);
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(500);
        await(a.answer(request(Action.SUBMIT, JOB, "key", TASK_COUNT)));
        faultyStore.setFeedsLost(true);
        advanceMillis(6_000);
        int startCount = fleet.starts().size();
        assertThat(startCount).isLessThan(TASK_COUNT);
        faultyStore.setFeedsLost(false);
        advanceMillis(20_000);
        assertThat(fleet.starts()).hasSize(TASK_COUNT);
    }
}
