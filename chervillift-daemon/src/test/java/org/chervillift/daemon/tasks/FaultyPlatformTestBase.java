package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;

/** Base of tests in which calls to the platform break what their interface promises. */
abstract class FaultyPlatformTestBase {

    static final String JOB = "5c0e7a21d94b36f8";
    private static final JobAnswer COMPLETED =
            new JobAnswer.State(JobStatus.of(JobState.COMPLETED));

    final NodeFixture fixture = new NodeFixture();
    final FaultyPlatform platform = new FaultyPlatform();

    /** Starts a process on the faulty platform, with one worker, and lets it become the holder. */
    TaskNode startHolder() {
        fixture.addVm("v1");
        TaskNode node = fixture.startNode("a", platform);
        fixture.advanceMillis(1_000);
        return node;
    }

    void assertJobIsCompleted(TaskNode node) {
        assertThat(fixture.ask(node, Action.READ, JOB)).isEqualTo(COMPLETED);
    }
}
