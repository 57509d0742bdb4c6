package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.junit.jupiter.api.Test;

class WithdrawnJobTest extends TaskNodeFixture {

    private static final int TASKS = 24;
    private static final long CANCEL_WITHIN_MILLIS = 3_000;

    /** Changes of the jobs do not reach the holder, which keeps its lease. */
    @Test
    void noTaskIsStartedLongAfterItsJobWasWithdrawnAlthoughTheHolderIsNotTold() {
        addWorker("w1", 1_000);
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = node("a", view);
        pass(500);
        TaskNode b = runningNode("b");
        await(b.answer(request(Action.SUBMIT, JOB, "key", TASKS)));
        pass(1_000);
        view.loseFeeds(true);
        pass(500);
        assertThat(ask(b, Action.CANCEL, JOB)).isInstanceOf(JobAnswer.Cancelled.class);

        pass(CANCEL_WITHIN_MILLIS);
        int started = fleet.starts().size();
        pass(4_000);
        assertThat(fleet.starts()).hasSize(started).hasSizeLessThan(TASKS);

        view.loseFeeds(false);
        pass(4_000);
        assertThat(fleet.starts()).hasSize(started);
    }

    /** The holder starts tasks again once changes come. */
    @Test
    void tasksAreStartedAgainOnceChangesOfTheJobsCome() {
        addWorker("w1", 1_000);
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = node("a", view);
        pass(500);
        await(a.answer(request(Action.SUBMIT, JOB, "key", TASKS)));
        view.loseFeeds(true);
        pass(6_000);
        int started = fleet.starts().size();
        assertThat(started).isLessThan(TASKS);
        view.loseFeeds(false);
        pass(20_000);
        assertThat(fleet.starts()).hasSize(TASKS);
    }
}
