package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.Schedule;
import org.junit.jupiter.api.Test;

/** Tests jobs of very many tasks, beside jobs of others and over a change of the holder. */
class LargeJobNodeTest {

    private static final String LARGE = "5c0e7a21d94b36f8";
    private static final String SMALL = "5c0e7a21d94b36f9";
    private static final int TASKS = 250_000;

    private final NodeFixture fixture = new NodeFixture();

    @Test
    void aJobOfVeryManyTasksDoesNotKeepOtherJobsFromRunning() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 10_000);
        TaskNode holder = fixture.startNodeAndWait("a");
        TaskNode successor = fixture.startNodeAndWait("b");
        submit(successor, LARGE, TASKS);
        fixture.advanceMillis(3_000);
        holder.drain();
        fixture.advanceMillis(3_000);

        submit(successor, SMALL, 1);
        fixture.advanceMillis(3_000);
        assertThat(fixture.ask(successor, JobRequest.Action.READ, SMALL))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
        assertThat(fixture.fleet.starts()).hasSizeGreaterThan(50).doesNotHaveDuplicates();
    }

    private void submit(TaskNode node, String id, int count) {
        JobRequest request =
                NodeFixture.request(JobRequest.Action.SUBMIT, id, NodeFixture.KEY, count);
        assertThat(fixture.await(node.answer(request))).isEqualTo(new JobAnswer.Accepted());
    }

    @Test
    void aGangThatCanNeverStartIsRefusedAndNotStored() {
        TaskNode node = fixture.startNodeAndWait("a");
        JobRequest request =
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        "/q/" + LARGE,
                        Optional.of(NodeFixture.KEY),
                        id ->
                                new JobSpec(
                                        id,
                                        "payload",
                                        List.of(NodeFixture.step(TASKS, 1, true)),
                                        Schedule.ONCE));
        assertThat(fixture.await(node.answer(request))).isInstanceOf(JobAnswer.TooLarge.class);
        assertThat(fixture.ask(node, JobRequest.Action.READ, LARGE))
                .isEqualTo(new JobAnswer.NoSuchJob());
    }
}
