package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.junit.jupiter.api.Test;

class JobStateNodeTest {

    private static final String JOB = "5c0e7a21d94b36f8";

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

    private JobState state(TaskNode node) {
        return ((JobAnswer.State) nodes.ask(node, Action.READ, JOB)).state();
    }
}
