package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

class JobStateNodeTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int SEVERAL_PAGES = 1_200;

    private final NodeFixture nodes = new NodeFixture();

    JobStateNodeTest() {
        nodes.addVm("a");
    }

    @Test
    void allProcessesTellOneStateOfAJobThatWasCancelledAfterItsEnd() {
        TaskNode holder = nodes.runningNode("h");
        TaskNode other = nodes.runningNode("o");
        nodes.ask(other, Action.SUBMIT, JOB);
        nodes.pass(2_000);
        assertThat(state(holder)).isEqualTo(JobState.COMPLETED);
        nodes.ask(other, Action.CANCEL, JOB);
        TaskNode fresh = nodes.runningNode("f");
        assertThat(state(holder)).isEqualTo(JobState.COMPLETED);
        assertThat(state(other)).isEqualTo(JobState.COMPLETED);
        assertThat(state(fresh)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aCancelledJobIsToldAsCancelledByAllProcesses() {
        TaskNode holder = nodes.runningNode("h");
        TaskNode other = nodes.runningNode("o");
        nodes.ask(other, Action.SUBMIT, JOB);
        nodes.ask(other, Action.CANCEL, JOB);
        nodes.pass(1_000);
        TaskNode fresh = nodes.runningNode("f");
        assertThat(state(holder)).isEqualTo(JobState.CANCELLED);
        assertThat(state(other)).isEqualTo(JobState.CANCELLED);
        assertThat(state(fresh)).isEqualTo(JobState.CANCELLED);
    }

    @Test
    void aJobIsNotToldAsCompletedBeforeThatIsStored() {
        TaskNode holder = nodes.runningNode("h");
        TaskNode other = nodes.runningNode("o", nodes.store);
        nodes.late.hold(w -> isProgress(w, "COMPLETED"));
        nodes.ask(other, Action.SUBMIT, JOB);
        nodes.pass(2_000);
        assertThat(state(holder)).isEqualTo(JobState.RUNNING);
        assertThat(state(other)).isEqualTo(JobState.RUNNING);
        holder.drain();
        nodes.pass(4_000);
        assertThat(state(other)).isEqualTo(JobState.COMPLETED);
        assertThat(nodes.fleet.starts()).hasSize(1);
    }

    @Test
    void aDelayedWriteOfAFormerHolderDoesNotChangeTheEndOfAJob() {
        TaskNode holder = nodes.runningNode("h");
        TaskNode other = nodes.runningNode("o", nodes.store);
        nodes.late.hold(w -> isProgress(w, "COMPLETED"));
        nodes.ask(other, Action.SUBMIT, JOB);
        nodes.pass(1_000);
        assertThat(nodes.late.heldCount()).isPositive();
        holder.drain();
        nodes.ask(other, Action.CANCEL, JOB);
        nodes.pass(2_000);
        JobState told = state(other);
        assertThat(told.isFinal()).isTrue();
        nodes.late.release();
        nodes.pass(1_000);
        assertThat(state(nodes.runningNode("f"))).isEqualTo(told);
    }

    @Test
    void aHolderWhoseFeedHasStoppedStillKnowsAnAcceptedJob() {
        TaskNode holder = nodes.runningNode("h");
        TaskNode other = nodes.runningNode("o", nodes.store);
        nodes.late.stopFeeds();
        nodes.pass(2_100);
        nodes.ask(other, Action.SUBMIT, JOB);
        assertThat(state(holder)).isEqualTo(JobState.QUEUED);
    }

    @Test
    void aSubmissionThatMayTakeEffectLaterIsNotToldAsNotRun() {
        TaskNode node = nodes.runningNode("h");
        AtomicBoolean first = new AtomicBoolean(true);
        nodes.late.hold(
                w -> {
                    boolean held = w.key().equals(JobRows.job(JOB)) && first.getAndSet(false);
                    nodes.store.setFault(held ? StoreFault.DOWN : StoreFault.NONE);
                    return held;
                });
        assertThat(nodes.ask(node, Action.SUBMIT, JOB))
                .isNotInstanceOf(JobAnswer.Unavailable.class);
        nodes.store.setFault(StoreFault.NONE);
        nodes.late.release();
        nodes.pass(2_000);
        assertThat(state(node)).isEqualTo(JobState.COMPLETED);
    }

    @Test
    void aNewHolderTellsTheEndsOfJobsThatFillSeveralPages() {
        for (int i = 0; i < 9; i++) {
            nodes.addVm("more-" + i);
        }
        TaskNode holder = nodes.runningNode("h");
        TaskNode other = nodes.runningNode("o");
        List<String> ids = IntStream.range(0, SEVERAL_PAGES).mapToObj("%016x"::formatted).toList();
        ids.forEach(id -> nodes.ask(other, Action.SUBMIT, id));
        nodes.pass(10_000);
        holder.drain();
        nodes.pass(2_000);
        TaskNode fresh = nodes.runningNode("f");
        for (String id : ids) {
            JobAnswer completed = new JobAnswer.State(JobState.COMPLETED);
            assertThat(nodes.ask(other, Action.READ, id)).isEqualTo(completed);
            assertThat(nodes.ask(fresh, Action.READ, id)).isEqualTo(completed);
        }
        assertThat(nodes.fleet.starts()).hasSize(SEVERAL_PAGES);
    }

    private static boolean isProgress(Write write, String state) {
        return write.key().equals(JobRows.progress(JOB))
                && write.value().filter(v -> v.contains(state)).isPresent();
    }

    private JobState state(TaskNode node) {
        return ((JobAnswer.State) nodes.ask(node, Action.READ, JOB)).state();
    }
}
