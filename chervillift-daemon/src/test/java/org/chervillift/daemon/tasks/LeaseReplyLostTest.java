package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.junit.jupiter.api.Test;

class LeaseReplyLostTest extends TaskNodeFixture {

    private static final long RENEW_PAUSE_MILLIS = 300;

    /** The answer to a renewal is lost, and its second try finds the first one's row. */
    @Test
    void aLeaseIsNotOverLaterBecauseARenewalWasTriedAgain() {
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = node("a", view);
        pass(500);
        TaskNode b = runningNode("b");
        ask(a, Action.SUBMIT, JOB);
        view.loseFeeds(true);
        pass(2_100);

        view.loseReplies(true);
        pass(RENEW_PAUSE_MILLIS);
        view.loseReplies(false);
        int before = view.conflicts();
        for (int i = 0; i < 100 && view.conflicts() == before; i++) {
            pass(5);
        }
        view.loseCommits(true);
        pass(850);
        ask(b, Action.CANCEL, JOB);
        pass(40);
        assertThat(ask(b, Action.READ, JOB)).isEqualTo(new JobAnswer.State(JobState.CANCELLED));
        assertThat(ask(a, Action.READ, JOB)).isEqualTo(new JobAnswer.State(JobState.CANCELLED));
    }
}
