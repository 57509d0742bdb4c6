package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.junit.jupiter.api.Test;

class LeaseRenewalReplyLostTest extends TaskNodeTestBase {

    private static final long RENEWAL_INTERVAL_MILLIS = 300;

    /** The reply to a renewal is lost, and the retry finds the row that the first attempt wrote. */
    @Test
    void retriedRenewalDoesNotExtendTheLeaseBeyondItsFirstAttempt() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        ask(a, Action.SUBMIT, JOB);
        faultyStore.setFeedsLost(true);
        advanceMillis(2_100);

        faultyStore.setCommitRepliesLost(true);
        advanceMillis(RENEWAL_INTERVAL_MILLIS);
        faultyStore.setCommitRepliesLost(false);
        int conflictsBefore = faultyStore.conflictCount();
        for (int i = 0; i < 100 && faultyStore.conflictCount() == conflictsBefore; i++) {
            advanceMillis(5);
        }
        faultyStore.setCommitsLost(true);
        advanceMillis(850);
        ask(b, Action.CANCEL, JOB);
        advanceMillis(40);
        assertThat(ask(b, Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.CANCELLED)));
        assertThat(ask(a, Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.CANCELLED)));
    }
}
