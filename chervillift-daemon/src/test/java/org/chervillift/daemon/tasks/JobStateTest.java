package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

class JobStateTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int JOBS_ON_SEVERAL_PAGES = 1_200;

    private final NodeFixture fixture = new NodeFixture();

    JobStateTest() {
        fixture.addVm("a");
    }

    @Test
    void allProcessesAgreeOnAJobCancelledAfterItsEnd() {
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o");
        fixture.ask(other, Action.SUBMIT, JOB);
        fixture.advanceMillis(2_000);
        assertThat(state(holder)).isEqualTo(JobState.COMPLETED);
        fixture.ask(other, Action.CANCEL, JOB);
        TaskNode fresh = fixture.startNodeAndWait("f");
        assertThat(state(holder)).isEqualTo(JobState.COMPLETED);
        assertThat(state(other)).isEqualTo(JobState.COMPLETED);
        assertThat(state(fresh)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void allProcessesReportACancelledJobAsCancelled() {
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o");
        fixture.ask(other, Action.SUBMIT, JOB);
        fixture.ask(other, Action.CANCEL, JOB);
        fixture.advanceMillis(1_000);
        TaskNode fresh = fixture.startNodeAndWait("f");
        assertThat(state(holder)).isEqualTo(JobState.CANCELLED);
        assertThat(state(other)).isEqualTo(JobState.CANCELLED);
        assertThat(state(fresh)).isEqualTo(JobState.CANCELLED);
    }

    @Test
    void jobIsNotReportedCompletedBeforeThatIsStored() {
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o", fixture.store);
        fixture.delayingStore.hold(w -> isProgress(w, "COMPLETED"));
        fixture.ask(other, Action.SUBMIT, JOB);
        fixture.advanceMillis(2_000);
        assertThat(state(holder)).isEqualTo(JobState.RUNNING);
        assertThat(state(other)).isEqualTo(JobState.RUNNING);
        holder.drain();
        fixture.advanceMillis(4_000);
        assertThat(state(other)).isEqualTo(JobState.COMPLETED);
        assertThat(fixture.fleet.starts()).hasSize(1);
    }

    @Test
    void delayedWriteOfAFormerHolderDoesNotChangeAFinalState() {
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o", fixture.store);
        fixture.delayingStore.hold(w -> isProgress(w, "COMPLETED"));
        fixture.ask(other, Action.SUBMIT, JOB);
        fixture.advanceMillis(1_000);
        assertThat(fixture.delayingStore.heldCount()).isPositive();
        holder.drain();
        fixture.ask(other, Action.CANCEL, JOB);
        fixture.advanceMillis(2_000);
        JobState finalState = state(other);
        assertThat(finalState.isFinal()).isTrue();
        fixture.delayingStore.releaseHeld();
        fixture.advanceMillis(1_000);
        assertThat(state(fixture.startNodeAndWait("f"))).isEqualTo(finalState);
    }

    @Test
    void holderWithoutFeedStillFindsAnAcceptedJob() {
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o", fixture.store);
        fixture.delayingStore.stopFeeds();
        fixture.advanceMillis(2_100);
        fixture.ask(other, Action.SUBMIT, JOB);
        assertThat(state(holder)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void submissionThatMayTakeEffectLaterIsNotReportedAsNotRun() {
        TaskNode node = fixture.startNodeAndWait("h");
        AtomicBoolean first = new AtomicBoolean(true);
        fixture.delayingStore.hold(
                w -> {
                    boolean held =
                            w.key().equals(StoreLayout.jobKey(JOB)) && first.getAndSet(false);
                    fixture.store.setFault(held ? StoreFault.DOWN : StoreFault.NONE);
                    return held;
                });
        assertThat(fixture.ask(node, Action.SUBMIT, JOB))
                .isNotInstanceOf(JobAnswer.Unavailable.class);
        fixture.store.setFault(StoreFault.NONE);
        fixture.delayingStore.releaseHeld();
        fixture.advanceMillis(2_000);
        assertThat(state(node)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void newHolderReportsFinalStatesOfJobsOnSeveralPages() {
        for (int i = 0; i < 9; i++) {
            fixture.addVm("more-" + i);
        }
        TaskNode holder = fixture.startNodeAndWait("h");
        TaskNode other = fixture.startNodeAndWait("o");
        List<String> ids =
                IntStream.range(0, JOBS_ON_SEVERAL_PAGES).mapToObj("%016x"::formatted).toList();
        ids.forEach(id -> fixture.ask(other, Action.SUBMIT, id));
        fixture.advanceMillis(10_000);
        holder.drain();
        fixture.advanceMillis(2_000);
        TaskNode fresh = fixture.startNodeAndWait("f");
        for (String id : ids) {
            JobAnswer completed = new JobAnswer.State(JobStatus.of(JobState.COMPLETED));
            assertThat(fixture.ask(other, Action.READ, id)).isEqualTo(completed);
            assertThat(fixture.ask(fresh, Action.READ, id)).isEqualTo(completed);
        }
        assertThat(fixture.fleet.starts()).hasSize(JOBS_ON_SEVERAL_PAGES);
    }

    private static boolean isProgress(Write write, String state) {
        return write.key().equals(StoreLayout.progressKey(JOB))
                && write.value().filter(v -> v.contains(state)).isPresent();
    }

    private JobState state(TaskNode node) {
        return ((JobAnswer.State) fixture.ask(node, Action.READ, JOB)).status().state();
    }
}
