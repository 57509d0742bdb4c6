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

class PendingCountTest extends TaskNodeFixture {

    private static final long ALLOWED_AGE_MILLIS = 2_000;

    private JobAnswer pending(TaskNode node) {
        return ask(node, Action.READ, "");
    }

    private void submit(TaskNode node, int count) {
        for (int i = 0; i < count; i++) {
            String id = String.format("%016x", 0xa0 + i);
            assertThat(ask(node, Action.SUBMIT, id)).isInstanceOf(JobAnswer.Accepted.class);
        }
    }

    /** The holder is cut off, and nobody else has read the jobs yet. */
    @Test
    void aCountOlderThanTwoSecondsIsNotTold() {
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        pass(1_000);
        assertThat(pending(b)).isEqualTo(new JobAnswer.Pending(0));

        a.drain();
        b.drain();
        submit(b, 5);
        pass(ALLOWED_AGE_MILLIS);

        assertThat(pending(b)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    @Test
    void noJobIsSaidToWaitOnlyWhenAHolderHasCounted() {
        TaskNode a = node("a");
        pass(10);
        a.drain();
        pass(1_000);
        assertThat(pending(a)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    /** Its connections to the store are silent while another process becomes the holder. */
    @Test
    void aHolderWhoseLeaseIsOverTellsNoCountOfItsOwn() {
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = node("a", view);
        pass(500);
        TaskNode b = runningNode("b");
        pass(1_000);
        view.loseFeeds(true);
        pass(2_100);
        view.loseCommits(true);
        pass(1_500);
        submit(b, 5);
        pass(1_200);

        assertThat(pending(b)).isEqualTo(new JobAnswer.Pending(5));
        assertThat(pending(a)).isEqualTo(new JobAnswer.Pending(5));
    }

    /** The lease is renewed, but changes of the jobs do not come any more. */
    @Test
    void aHolderWhoseFeedOfTheJobsStandsStillTellsNoCount() {
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = node("a", view);
        pass(1_000);
        view.loseFeeds(true);
        pass(500);
        submit(a, 5);
        pass(ALLOWED_AGE_MILLIS);

        assertThat(pending(a)).isInstanceOf(JobAnswer.Unavailable.class);

        view.loseFeeds(false);
        pass(4_000);
        assertThat(pending(a)).isEqualTo(new JobAnswer.Pending(5));
    }

    @Test
    void aCountIsToldAllTheTimeWhileNothingChanges() {
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        submit(b, 2);
        pass(2_000);
        for (int i = 0; i < 100; i++) {
            pass(73);
            assertThat(pending(a)).isEqualTo(new JobAnswer.Pending(2));
            assertThat(pending(b)).isEqualTo(new JobAnswer.Pending(2));
        }
    }

    /** A slow store makes counts older, not unknown. */
    @Test
    void aCountIsToldWhileTheStoreIsSlow() {
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        submit(b, 2);
        store.setLatency(Duration.ofMillis(200));
        pass(3_000);
        for (int i = 0; i < 20; i++) {
            pass(230);
            assertThat(pending(a)).isEqualTo(new JobAnswer.Pending(2));
            assertThat(pending(b)).isEqualTo(new JobAnswer.Pending(2));
        }
    }

    @Test
    void aCountIsToldAgainSoonAfterTheStoreIsBack() {
        TaskNode a = runningNode("a");
        submit(a, 2);
        store.setFault(StoreFault.DOWN);
        pass(5_000);
        assertThat(pending(a)).isInstanceOf(JobAnswer.Unavailable.class);
        store.setFault(StoreFault.NONE);
        pass(3_000);
        assertThat(pending(a)).isEqualTo(new JobAnswer.Pending(2));
    }

    /** The jobs are read at once, but how far they are takes long to read. */
    @Test
    void jobsThatCameWhileANewHolderReadAreInItsFirstCount() {
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        view.slowDownReads(JobRows.PROGRESS, Duration.ofSeconds(5));
        TaskNode a = node("a", view);
        pass(500);
        TaskNode b = runningNode("b");
        submit(b, 5);
        pass(3_000);

        Set<JobAnswer> told = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            pass(20);
            told.add(pending(a));
            told.add(pending(b));
        }
        assertThat(told)
                .filteredOn(JobAnswer.Pending.class::isInstance)
                .containsOnly(new JobAnswer.Pending(5));
    }

    /** The store's answer does not say its time. */
    @Test
    void aCountOfUnknownAgeIsNotTold() {
        FaultyStoreView view = new FaultyStoreView(store, scheduler);
        TaskNode a = runningNode("a");
        TaskNode b = node("b", view);
        pass(1_000);
        assertThat(pending(b)).isEqualTo(new JobAnswer.Pending(0));

        view.hideClock(true);
        store.setLatency(Duration.ofMillis(20));
        a.drain();
        b.drain();
        submit(b, 5);
        pass(ALLOWED_AGE_MILLIS);
        assertThat(pending(b)).isInstanceOf(JobAnswer.Unavailable.class);
    }

    /** Its time counts from a restart of the store. */
    @Test
    void aCountThatIsNewerThanTheStoresClockIsNotTold() {
        PendingCounts counts = PendingCounts.of(Map.of("quick", 0), 50_000);
        assertThat(counts.mayBeTold(50_000)).isTrue();
        assertThat(counts.mayBeTold(52_000)).isTrue();
        assertThat(counts.mayBeTold(52_001)).isFalse();
        assertThat(counts.mayBeTold(49_999)).isFalse();
    }
}
