package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class CancelledJobTest extends TaskNodeTestBase {

    private static final int TASK_COUNT = 24;
    private static final long CANCEL_WITHIN_MILLIS = 3_000;

    /** Changes of the jobs do not reach the holder, which keeps its lease. */
    @Test
    void noTaskStartsLongAfterCancellationThoughTheHolderReceivesNoChanges() {
        addWorker("w1", 1_000);
        FaultInjectingStore view = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", view);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        await(b.answer(request(Action.SUBMIT, JOB, "key", TASK_COUNT)));
        advanceMillis(1_000);
        view.setFeedsLost(true);
        advanceMillis(500);
        assertThat(ask(b, Action.CANCEL, JOB)).isInstanceOf(JobAnswer.Cancelled.class);

        advanceMillis(CANCEL_WITHIN_MILLIS);
        int started = fleet.starts().size();
        advanceMillis(4_000);
        assertThat(fleet.starts()).hasSize(started).hasSizeLessThan(TASK_COUNT);

        view.setFeedsLost(false);
        advanceMillis(4_000);
        assertThat(fleet.starts()).hasSize(started);
    }

    /** The holder starts tasks again once changes come. */
    @Test
    void tasksStartAgainOnceJobChangesAreReceived() {
        addWorker("w1", 1_000);
        FaultInjectingStore view = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", view);
        advanceMillis(500);
        await(a.answer(request(Action.SUBMIT, JOB, "key", TASK_COUNT)));
        view.setFeedsLost(true);
        advanceMillis(6_000);
        int started = fleet.starts().size();
        assertThat(started).isLessThan(TASK_COUNT);
        view.setFeedsLost(false);
        advanceMillis(20_000);
        assertThat(fleet.starts()).hasSize(TASK_COUNT);
    }
}
