package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.junit.jupiter.api.Test;

class LeaseRenewalReplyLostTest extends TaskNodeTestBase {

    private static final long RENEWAL_INTERVAL_MILLIS = 300;

    /** The answer to a renewal is lost, and its second try finds the first one's row. */
    @Test
    void retriedRenewalDoesNotExtendTheLeaseBeyondItsFirstAttempt() {
        FaultInjectingStore view = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", view);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        ask(a, Action.SUBMIT, JOB);
        view.setFeedsLost(true);
        advanceMillis(2_100);

        view.setCommitRepliesLost(true);
        advanceMillis(RENEWAL_INTERVAL_MILLIS);
        view.setCommitRepliesLost(false);
        int before = view.conflictCount();
        for (int i = 0; i < 100 && view.conflictCount() == before; i++) {
            advanceMillis(5);
        }
        view.setCommitsLost(true);
        advanceMillis(850);
        ask(b, Action.CANCEL, JOB);
        advanceMillis(40);
        assertThat(ask(b, Action.READ, JOB)).isEqualTo(new JobAnswer.State(JobState.CANCELLED));
        assertThat(ask(a, Action.READ, JOB)).isEqualTo(new JobAnswer.State(JobState.CANCELLED));
    }
}
