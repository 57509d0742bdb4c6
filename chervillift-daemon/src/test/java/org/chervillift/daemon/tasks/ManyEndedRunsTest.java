package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.standin.tasks.MemoryLink;
import org.junit.jupiter.api.Test;

/** Tests a worker on which more runs end than it lists in one answer. */
class ManyEndedRunsTest {

    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int TASKS = 768;
    private static final long MILLI_CORES = TASKS * 1_000L;
    private static final long FAST_BYTES_PER_SECOND = 100_000_000;

    private final NodeFixture fixture = new NodeFixture();
    private final MemoryLink holderLink =
            new MemoryLink(fixture.store, fixture.scheduler, FAST_BYTES_PER_SECOND);

    @Test
    void aNewHolderDoesNotStartDoneTasksAgainWhoseEndsDoNotFitInOneAnswer() {
        startAndCutHolder();
        TaskNode successor = fixture.startedNodes.get(1);
        fixture.advanceMillis(8_000);

        assertThat(fixture.ask(successor, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
        assertThat(fixture.fleet.starts()).hasSize(TASKS);
    }

    @Test
    void aHolderDoesNotStartDoneTasksAgainWhoseEndsCouldNotBeStoredForATime() {
        startAndCutHolder();
        fixture.advanceMillis(600);
        holderLink.setCut(false);
        fixture.advanceMillis(8_000);

        assertThat(fixture.ask(fixture.startedNodes.get(0), JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
        assertThat(fixture.fleet.starts()).hasSize(TASKS);
    }

    /** Starts a job, and cuts its holder off from the store while all tasks run. */
    private void startAndCutHolder() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, MILLI_CORES);
        fixture.startNodeAndWait("a", holderLink);
        TaskNode other = fixture.startNodeAndWait("b");
        fixture.await(
                other.answer(
                        NodeFixture.request(
                                JobRequest.Action.SUBMIT, JOB, NodeFixture.KEY, TASKS)));
        for (int i = 0; i < 100 && fixture.fleet.starts().size() < TASKS; i++) {
            fixture.advanceMillis(10);
        }
        holderLink.setCut(true);
    }
}
