package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

class PendingCountTest extends TaskNodeTestBase {

    private static final long MAX_AGE_MILLIS = 2_000;

    private JobAnswer askPendingCount(TaskNode node) {
        return ask(node, Action.READ, "");
    }

    private void submit(TaskNode node, int count) {
        for (int i = 0; i < count; i++) {
            String id = String.format("%016x", 0xa0 + i);
            assertThat(ask(node, Action.SUBMIT, id)).isInstanceOf(JobAnswer.Accepted.class);
        }
    }

    /** The holder has released the lease, and no other process has taken over. */
    @Test
    void countOlderThanTwoSecondsIsNotReturned() {
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        advanceMillis(1_000);
        assertThat(askPendingCount(b)).isEqualTo(new JobAnswer.Pending(0));

        a.drain();
        b.drain();
        submit(b, 5);
        advanceMillis(MAX_AGE_MILLIS);

        assertThat(askPendingCount(b)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    @Test
    void countIsUnavailableBeforeAHolderHasCounted() {
        TaskNode a = startNode("a");
        advanceMillis(10);
        a.drain();
        advanceMillis(1_000);
        assertThat(askPendingCount(a)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    /** The former holder's calls to the store time out while another process takes over. */
    @Test
    void formerHolderDoesNotReturnItsOwnCountAfterLeaseExpiry() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        advanceMillis(1_000);
        faultyStore.setFeedsLost(true);
        advanceMillis(2_100);
        faultyStore.setCommitsLost(true);
        advanceMillis(1_500);
        submit(b, 5);
        advanceMillis(1_200);

        assertThat(askPendingCount(b)).isEqualTo(new JobAnswer.Pending(5));
        assertThat(askPendingCount(a)).isEqualTo(new JobAnswer.Pending(5));
    }

    /** The lease is renewed, but job changes are no longer received. */
    @Test
    void holderWithoutJobChangesReturnsNoCount() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(1_000);
        faultyStore.setFeedsLost(true);
        advanceMillis(500);
        submit(a, 5);
        advanceMillis(MAX_AGE_MILLIS);

        assertThat(askPendingCount(a)).isInstanceOf(JobAnswer.Unavailable.class);

        faultyStore.setFeedsLost(false);
        advanceMillis(4_000);
        assertThat(askPendingCount(a)).isEqualTo(new JobAnswer.Pending(5));
    }

    @Test
    void countStaysAvailableWhileNothingChanges() {
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        submit(b, 2);
        advanceMillis(2_000);
        for (int i = 0; i < 100; i++) {
            advanceMillis(73);
            assertThat(askPendingCount(a)).isEqualTo(new JobAnswer.Pending(2));
            assertThat(askPendingCount(b)).isEqualTo(new JobAnswer.Pending(2));
        }
    }

    /** A slow store makes counts older, but not unavailable. */
    @Test
    void countIsAvailableWhileTheStoreIsSlow() {
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNodeAndWait("b");
        submit(b, 2);
        store.setLatency(Duration.ofMillis(200));
        advanceMillis(3_000);
        for (int i = 0; i < 20; i++) {
            advanceMillis(230);
            assertThat(askPendingCount(a)).isEqualTo(new JobAnswer.Pending(2));
            assertThat(askPendingCount(b)).isEqualTo(new JobAnswer.Pending(2));
        }
    }

    @Test
    void countIsAvailableAgainSoonAfterTheStoreRecovers() {
        TaskNode a = startNodeAndWait("a");
        submit(a, 2);
        store.setFault(StoreFault.DOWN);
        advanceMillis(5_000);
        assertThat(askPendingCount(a)).isInstanceOf(JobAnswer.Unavailable.class);
        store.setFault(StoreFault.NONE);
        advanceMillis(3_000);
        assertThat(askPendingCount(a)).isEqualTo(new JobAnswer.Pending(2));
    }

    /** Reading the jobs is quick, but reading their progress takes long. */
    @Test
    void firstCountOfANewHolderIncludesJobsStoredDuringItsReads() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        faultyStore.delayReads(StoreLayout.PROGRESS_TABLE, Duration.ofSeconds(5));
        TaskNode a = startNode("a", faultyStore);
        advanceMillis(500);
        TaskNode b = startNodeAndWait("b");
        submit(b, 5);
        advanceMillis(3_000);

        Set<JobAnswer> answers = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            advanceMillis(20);
            answers.add(askPendingCount(a));
            answers.add(askPendingCount(b));
        }
        assertThat(answers)
                .filteredOn(JobAnswer.Pending.class::isInstance)
                .containsOnly(new JobAnswer.Pending(5));
    }

    /** The store's answers do not contain its time. */
    @Test
    void countOfUnknownAgeIsNotReturned() {
        FaultInjectingStore faultyStore = new FaultInjectingStore(store, scheduler);
        TaskNode a = startNodeAndWait("a");
        TaskNode b = startNode("b", faultyStore);
        advanceMillis(1_000);
        assertThat(askPendingCount(b)).isEqualTo(new JobAnswer.Pending(0));

        faultyStore.setClockHidden(true);
        store.setLatency(Duration.ofMillis(20));
        a.drain();
        b.drain();
        submit(b, 5);
        advanceMillis(MAX_AGE_MILLIS);
        assertThat(askPendingCount(b)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    /** The store's clock starts anew when the store restarts. */
    @Test
    void countNewerThanTheStoreClockIsNotReturned() {
        PendingCounts counts = PendingCounts.of(Map.of("quick", 0), 50_000);
        assertThat(counts.isFreshAt(50_000)).isTrue();
        assertThat(counts.isFreshAt(52_000)).isTrue();
        assertThat(counts.isFreshAt(52_001)).isFalse();
        assertThat(counts.isFreshAt(49_999)).isFalse();
    }
}
