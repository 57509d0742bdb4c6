package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.List;
import java.util.Set;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.junit.jupiter.api.Test;

/** Guards against urgent work that waits for other work of its pool. */
class UrgentWorkTest {

    private static final QueuePolicy URGENT =
            new QueuePolicy("urgent", SchedulerFixture.POOL, 0, 2, 1.6, 600, false);
    private static final QueuePolicy BATCH =
            new QueuePolicy("batch", SchedulerFixture.POOL, 5, 2, 20, 60_000, false);

    private static final QueuePolicy TIGHT =
            new QueuePolicy("tight", SchedulerFixture.POOL, 5, 2, 1.6, 600, false);

    private SchedulerFixture fixture = new SchedulerFixture();

    UrgentWorkTest() {
        configure(List.of());
    }

    private void configure(List<Customer> customers) {
        fixture.scheduler.configure(
                Manifest.of(
                        2,
                        List.of(
                                new QueueRoute("h.example", "/u/", true, URGENT),
                                new QueueRoute("h.example", "/b/", true, BATCH),
                                new QueueRoute("h.example", "/t/", true, TIGHT)),
                        List.of(new PoolPolicy(SchedulerFixture.POOL, true, false)),
                        customers,
                        1_000));
    }

    private void accept(QueuePolicy policy, String id, long waitingMillis, StepSpec... steps) {
        JobSpec spec = new JobSpec(id, "p", List.of(steps), Schedule.ONCE);
        fixture.scheduler.accept(new AcceptedJob(spec, policy, "", 0), waitingMillis, fixture.now);
    }

    @Test
    void aLateUrgentJobStartsBeforeABatchJobThatIsOnTime() {
        fixture.addWorker("w1", 1_000);
        accept(BATCH, "batch", 0, step(1, 1_000));
        accept(URGENT, "urgent", 10_000, step(1, 1_000));

        assertThat(fixture.starts()).extracting(s -> s.task().job()).containsExactly("urgent");
    }

    /** Returns a step of one core and of tasks that take a minute. */
    private static StepSpec minute(int count, boolean gang, boolean checkpointing) {
        return new StepSpecBuilder()
                .count(count)
                .estimatedMillis(60_000)
                .gang(gang)
                .checkpointing(checkpointing)
                .build();
    }

    private void start(QueuePolicy policy, String id, StepSpec step) {
        accept(policy, id, 0, step);
        assertThat(fixture.starts()).extracting(s -> s.task().job()).contains(id);
        progress(id, 0, "");
        pass(1);
    }

    /** Sets what the worker lists of a job's runs from the next report on. */
    private void progress(String job, int percent, String checkpoint) {
        fixture.runningByWorker
                .get("w1")
                .replaceAll(
                        r ->
                                r.task().job().equals(job)
                                        ? new RunningTask(r.task(), r.run(), checkpoint, percent, 0)
                                        : r);
    }

    private void pass(long millis) {
        fixture.now += millis;
        fixture.report("w1");
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
    }

    private List<String> stoppedJobs() {
        return fixture.plan().stream()
                .filter(Order.Stop.class::isInstance)
                .map(o -> o.task().job())
                .toList();
    }

    private List<String> startedJobs() {
        pass(1);
        return fixture.starts().stream().map(s -> s.task().job()).toList();
    }

    @Test
    void anUrgentTaskTakesTheRoomOfTheRunThatLosesLeast() {
        fixture.addWorker("w1", 2_000);
        start(BATCH, "older", minute(1, false, false));
        progress("older", 10, "");
        pass(6_000);
        start(BATCH, "newer", minute(1, false, false));
        progress("newer", 2, "");
        pass(1_000);
        accept(URGENT, "urgent", 0, step(1, 1_000));

        assertThat(stoppedJobs()).containsExactly("newer");
        assertThat(startedJobs()).containsExactly("urgent");
    }

    @Test
    void aRunThatHasJustSavedItsProgressLosesLessThanAYoungerOne() {
        fixture.addWorker("w1", 2_000);
        start(BATCH, "saves", minute(1, false, true));
        progress("saves", 10, "");
        pass(6_000);
        start(BATCH, "younger", minute(1, false, true));
        progress("younger", 2, "");
        progress("saves", 12, "at-12");
        pass(1_200);
        accept(URGENT, "urgent", 0, step(1, 1_000));

        assertThat(stoppedJobs()).containsExactly("saves");
    }

    @Test
    void aRunWhoseRoomIsNotNeededGoesOn() {
        fixture.addWorker("w1", 4_000);
        start(BATCH, "large", SchedulerFixture.estimatedStep(3_000, 60_000));
        start(BATCH, "small", SchedulerFixture.estimatedStep(1_000, 60_000));
        accept(URGENT, "urgent", 0, step(1, 3_000));

        assertThat(stoppedJobs()).containsExactly("large");
    }

    /** The urgent job may wait for 1.2 s. A percent of a minute is 0.6 s. */
    @Test
    void nothingIsStoppedWhileARunEndsInTime() {
        fixture.addWorker("w1", 2_000);
        start(BATCH, "long", minute(1, false, false));
        start(BATCH, "ends", minute(1, false, false));
        progress("ends", 99, "");
        pass(1);
        accept(URGENT, "urgent", 0, step(1, 1_000));
        assertThat(stoppedJobs()).isEmpty();

        accept(URGENT, "urgent-2", 0, step(1, 1_000));
        assertThat(stoppedJobs()).containsExactly("long");
    }

    @Test
    void runsOfEqualPriorityGangsAndLongRunningTasksAreNotStopped() {
        fixture.addWorker("w1", 4_000);
        start(URGENT, "equal", minute(1, false, false));
        start(BATCH, "gang", minute(2, true, false));
        start(BATCH, "service", step(1, 1_000, List.of(), false, true, 1));
        accept(URGENT, "urgent", 0, step(1, 1_000));

        assertThat(stoppedJobs()).isEmpty();
    }

    @Test
    void aRunThatEndsSoonerThanAStopTakesIsNotStopped() {
        fixture.addWorker("w1", 1_000);
        start(BATCH, "ends", SchedulerFixture.estimatedStep(1_000, 30_000));
        progress("ends", 99, "");
        pass(100);
        accept(URGENT, "urgent", 1_000, step(1, 1_000));

        assertThat(stoppedJobs()).isEmpty();
    }

    /** With 40 s to repeat its job would miss its objective of 96.6 s, that it meets otherwise. */
    @Test
    void aRunWhoseJobWouldMissItsObjectiveByTheStopIsNotStopped() {
        fixture.addWorker("w1", 1_000);
        start(TIGHT, "tight", minute(1, false, false));
        progress("tight", 66, "");
        pass(40_000);
        accept(URGENT, "urgent", 0, step(1, 1_000));

        assertThat(stoppedJobs()).isEmpty();
    }

    @Test
    void aTaskIsStoppedTwiceAtMost() {
        fixture.addWorker("w1", 1_000);
        start(BATCH, "batch", minute(1, false, false));
        for (int i = 0; i < 2; i++) {
            accept(URGENT, "urgent" + i, 0, step(1, 1_000));
            assertThat(stoppedJobs()).containsExactly("batch");
            assertThat(startedJobs()).containsExactly("urgent" + i);
            fixture.endAll("w1", RunEnd.DONE);
            assertThat(startedJobs()).containsExactly("batch");
            progress("batch", 0, "");
            pass(1);
        }
        accept(URGENT, "last", 0, step(1, 1_000));

        assertThat(stoppedJobs()).isEmpty();
    }

    /** The failure case: the order to stop is lost, so that the run goes on. */
    @Test
    void whileAStopIsNotConfirmedItIsRepeatedAndNoOtherRunIsStopped() {
        fixture.addWorker("w1", 2_000);
        start(BATCH, "a", minute(1, false, false));
        start(BATCH, "b", minute(1, false, false));
        accept(URGENT, "urgent", 0, step(1, 1_000));
        List<Order> first = fixture.orders();
        pass(450);
        List<Order> second = fixture.orders();

        assertThat(first).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
        assertThat(second).isEqualTo(first);
    }

    /**
     * Runs away from their data seemed to end soon until the urgent job was late. This one takes 3
     * s in all, and the urgent job may wait for 1.2 s.
     */
    @Test
    void aRunAwayFromItsDataIsExpectedToTakeLonger() {
        fixture = new SchedulerFixture(1, Resources.NONE, 3);
        configure(List.of());
        fixture.addWorker("w1", 1_000);
        start(BATCH, "away", RackFixture.step(1, 1_000, "other", false));
        progress("away", 16, "");
        pass(500);
        accept(URGENT, "urgent", 0, step(1, 1_000));

        assertThat(stoppedJobs()).containsExactly("away");
    }

    /** Runs were stopped for each waiting task, also for those that the limit keeps waiting. */
    @Test
    void noMoreRunsAreStoppedThanTheLimitOfTheCustomerAllowsToStart() {
        configure(List.of(new Customer("limited", Set.of("k"), 1, new Resources(2_000, 0, 0))));
        fixture.addWorker("w1", 4_000);
        start(BATCH, "a", minute(1, false, false));
        start(BATCH, "b", minute(1, false, false));
        start(BATCH, "c", minute(1, false, false));
        start(BATCH, "d", minute(1, false, false));
        for (int i = 0; i < 3; i++) {
            JobSpec spec = new JobSpec("u" + i, "p", List.of(step(1, 1_000)), Schedule.ONCE);
            fixture.scheduler.accept(new AcceptedJob(spec, URGENT, "limited", 0), 0, fixture.now);
        }
        assertThat(stoppedJobs()).hasSize(2);
        assertThat(stoppedJobs()).isEmpty();
        assertThat(startedJobs()).hasSize(2);
        assertThat(stoppedJobs()).isEmpty();
    }
}
