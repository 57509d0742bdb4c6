package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

/** Tests jobs that need more room than a row, or a transaction, of the store has. */
class RowSizeTest {

    private static final String LARGE = "5c0e7a21d94b36f8";
    private static final String SMALL = "5c0e7a21d94b36f9";
    private static final int OCCURRENCES = 240;

    private final NodeFixture fixture = new NodeFixture();
    private final TaskNode node;

    RowSizeTest() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 100_000);
        node = fixture.startNodeAndWait("a");
    }

    private CompletionStage<JobAnswer> submit(String id, JobSpec spec) {
        return node.answer(
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        "/q/" + id,
                        Optional.of(NodeFixture.KEY),
                        i -> spec));
    }

    private static JobSpec job(String id, int steps, Schedule schedule) {
        StepSpec step = NodeFixture.step(1, 1_000, false);
        return new JobSpec(id, "payload", Collections.nCopies(steps, step), schedule);
    }

    /** The progress of such a job outgrew its row, and nothing started in the fleet any more. */
    @Test
    void aJobThatRepeatsOftenDoesNotKeepOtherJobsFromRunning() {
        Schedule schedule = new Schedule(OCCURRENCES, 1, 0);
        assertThat(fixture.await(submit(LARGE, job(LARGE, 8, schedule))))
                .isEqualTo(new JobAnswer.Accepted());
        fixture.advanceMillis(30_000);
        assertCompletes(LARGE);
        fixture.ask(node, JobRequest.Action.SUBMIT, SMALL);
        fixture.advanceMillis(3_000);
        assertCompletes(SMALL);
        assertThat(fixture.fleet.starts()).hasSize(8 * OCCURRENCES + 1);
    }

    /**
     * A row that is too long was written again and again, and all jobs waited for it; later the job
     * was told as failed, although no run had failed.
     */
    @Test
    void aJobWhoseProgressFitsInNoRowIsCompletedAndOthersRun() {
        fixture.addWorker("w2", "vm-w2", NodeFixture.POOL, 900_000);
        fixture.advanceMillis(1_000);
        JobSpec many = NodeFixture.spec(LARGE, "payload", 900);
        fixture.await(submit(LARGE, many));
        for (int i = 0; i < 100 && fixture.fleet.worker("w2").runningCount() < 800; i++) {
            fixture.advanceMillis(10);
        }
        fixture.fleet.worker("w2").crash();
        fixture.ask(node, JobRequest.Action.SUBMIT, SMALL);
        fixture.advanceMillis(3_000);
        assertCompletes(SMALL);
        fixture.advanceMillis(10_000);
        assertCompletes(LARGE);
    }

    /**
     * Occurrences that became due during an outage of the store were started together, and the job
     * was told as failed, although no run had failed.
     */
    @Test
    void aRepeatingJobIsCompletedAfterAnOutageOfTheStore() {
        Schedule schedule = new Schedule(80, System.currentTimeMillis(), 0);
        fixture.await(submit(LARGE, chain(LARGE, 18, schedule)));
        fixture.advanceMillis(3_000);
        fixture.store.setFault(StoreFault.DOWN);
        fixture.advanceMillis(4_500);
        fixture.store.setFault(StoreFault.NONE);
        fixture.advanceMillis(60_000);
        assertCompletes(LARGE);
        assertThat(fixture.fleet.starts()).hasSize(18 * 80);
    }

    /** Such a job was told as failed without any trouble. */
    @Test
    void aRepeatingJobOfManyStepsIsCompleted() {
        Schedule schedule = new Schedule(60, System.currentTimeMillis(), 0);
        fixture.await(submit(LARGE, chain(LARGE, 40, schedule)));
        fixture.advanceMillis(90_000);
        assertCompletes(LARGE);
        assertThat(fixture.fleet.starts()).hasSize(40 * 60);
    }

    /** Returns a job each step of which waits for the one before. */
    private static JobSpec chain(String id, int steps, Schedule schedule) {
        List<StepSpec> specs = new ArrayList<>();
        for (int i = 0; i < steps; i++) {
            specs.add(NodeFixture.step(1, 10, i == 0 ? List.of() : List.of(i - 1)));
        }
        return new JobSpec(id, "payload", specs, schedule);
    }

    private void assertCompletes(String id) {
        assertThat(fixture.ask(node, JobRequest.Action.READ, id))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
    }

    /** The store refused the whole transaction, with the jobs of others in it. */
    @Test
    void aJobThatFitsInNoRowIsRefusedAtOnceAndOthersAreStored() {
        CompletionStage<JobAnswer> large = submit(LARGE, job(LARGE, 400, Schedule.ONCE));
        CompletionStage<JobAnswer> small = submit(SMALL, job(SMALL, 1, Schedule.ONCE));
        assertThat(fixture.await(large)).isInstanceOf(JobAnswer.TooLarge.class);
        assertThat(fixture.await(small)).isEqualTo(new JobAnswer.Accepted());
        assertThat(fixture.ask(node, JobRequest.Action.READ, LARGE))
                .isEqualTo(new JobAnswer.NoSuchJob());
    }

    @Test
    void jobsThatTogetherExceedATransactionAreStoredInSeveral() {
        List<CompletionStage<JobAnswer>> answers = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            String id = String.format("%016x", i);
            answers.add(submit(id, job(id, 120, Schedule.ONCE)));
        }
        for (CompletionStage<JobAnswer> answer : answers) {
            assertThat(fixture.await(answer)).isEqualTo(new JobAnswer.Accepted());
        }
    }
}
