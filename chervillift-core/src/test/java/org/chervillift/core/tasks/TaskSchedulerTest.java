package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

class TaskSchedulerTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void aJobRunsItsStepsInOrderAndIsCompletedOnceItsEndIsStored() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", step(2, 1_000), step(1, 1_000, List.of(0), false, false, 0));

        assertThat(fixture.starts()).extracting(s -> s.task().step()).containsOnly(0).hasSize(2);
        fixture.endAll("w1", RunEnd.DONE);
        assertThat(fixture.starts()).extracting(s -> s.task().step()).containsExactly(1);
        fixture.endAll("w1", RunEnd.DONE);

        assertThat(fixture.scheduler.stateOf("a")).isEmpty();
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void endsAreAcknowledgedOnlyOnceTheirEffectIsStored() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", step(1, 1_000));
        fixture.starts();
        fixture.endAll("w1", RunEnd.DONE);

        UnstoredProgress unstored = fixture.scheduler.unstoredProgress();
        assertThat(fixture.scheduler.acknowledgedEnd("w1")).isZero();
        fixture.scheduler.markStored(unstored);
        assertThat(fixture.scheduler.acknowledgedEnd("w1")).isEqualTo(1);
    }

    @Test
    void noWorkerGetsMoreTasksThanItsCapacity() {
        fixture.addWorker("w1", 2_500);
        fixture.accept("a", step(5, 1_000));

        assertThat(fixture.starts()).hasSize(2);
        assertThat(fixture.starts()).isEmpty();
    }

    @Test
    void aTaskOnAnUnreachableWorkerStartsElsewhereOnlyOnceTheLeaseHasExpired() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000));
        fixture.starts();
        fixture.scheduler.setReachable("w1", false, fixture.now);
        fixture.addWorker("w2", 1_000);

        fixture.now += SchedulerFixture.LEASE_MILLIS;
        fixture.scheduler.leaseGranted("w2", fixture.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(fixture.starts()).isEmpty();

        fixture.now += 1;
        assertThat(fixture.starts())
                .extracting(Order.Start::worker, Order.Start::run)
                .containsExactly(org.assertj.core.groups.Tuple.tuple("w2", 2));
    }

    @Test
    void aTaskOfACrashedWorkerStartsElsewhereOnceItsLifetimeHasEnded() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000));
        fixture.starts();
        fixture.addWorker("w2", 1_000);

        fixture.scheduler.workerLifetimeEnded("w1", fixture.now, fixture.now);

        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w2");
    }

    @Test
    void anUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000));
        Order start = fixture.orders().get(0);
        fixture.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, fixture.now);
        fixture.addWorker("w2", 1_000);
        assertThat(fixture.starts()).isEmpty();

        fixture.now += 300;
        fixture.report("w1");
        List<Order> orders = fixture.orders();
        assertThat(orders).singleElement().isInstanceOf(Order.Stop.class);
        fixture.scheduler.applyAnswer(orders.get(0), OrderAnswer.DONE, fixture.now);
        assertThat(fixture.starts()).isEmpty();

        fixture.now += 1;
        fixture.report("w1");
        assertThat(fixture.starts()).extracting(Order.Start::run).containsExactly(2);
    }

    @Test
    void anUnansweredStartContinuesIfTheWorkerListsTheRun() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000));
        Order start = fixture.orders().get(0);
        fixture.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, fixture.now);
        fixture.now += 300;
        fixture.runningByWorker.put(
                "w1", List.of(new RunningTask(start.task(), start.run(), "", 10, 0)));
        fixture.report("w1");

        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
    }

    @Test
    void aJobFailsOnceATaskHasUsedUpItsAttempts() {
        fixture.addWorker("w1", 1_000);
        fixture.addWorker("w2", 1_000);
        fixture.accept("a", step(1, 1_000));

        String first = fixture.starts().get(0).worker();
        fixture.endAll(first, RunEnd.FAILED);
        String second = fixture.starts().get(0).worker();
        assertThat(second).isNotEqualTo(first);
        fixture.endAll(second, RunEnd.FAILED);
        fixture.store();

        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
        assertThat(fixture.starts()).isEmpty();
    }

    @Test
    void aCancelledJobIsStoppedAndNeverStartedAgain() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(2, 1_000));
        fixture.starts();

        fixture.scheduler.cancel("a", fixture.now);

        assertThat(fixture.plan()).singleElement().isInstanceOf(Order.Stop.class);
        fixture.now += 1;
        fixture.report("w1");
        assertThat(fixture.plan()).isEmpty();
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.CANCELLED);
    }

    @Test
    void aLongRunningTaskIsRestartedHoweverItEnds() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000, List.of(), false, true, 0));
        for (RunEnd end : RunEnd.values()) {
            assertThat(fixture.starts()).as("after " + end).hasSize(1);
            fixture.endAll("w1", end);
            fixture.now += 1_000;
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
            fixture.now += 20_000;
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
    }

    @Test
    void theRunsOfACustomerStayWithinItsLimit() {
        SchedulerFixture limited = new SchedulerFixture(1, new Resources(2_000, 0, 0));
        limited.addWorker("w1", 10_000);
        limited.accept("a", step(5, 1_000));

        assertThat(limited.starts()).hasSize(2);
        limited.endAll("w1", RunEnd.DONE);
        assertThat(limited.starts()).hasSize(2);
    }

    @Test
    void aGangStartsAllOrNone() {
        fixture.addWorker("w1", 2_000);
        fixture.accept("a", step(3, 1_000, List.of(), true, false, 0));
        assertThat(fixture.starts()).isEmpty();

        fixture.addWorker("w2", 1_000);
        assertThat(fixture.starts()).hasSize(3).extracting(Order.Start::run).containsOnly(1);
    }

    @Test
    void aGangIsStoppedIfOneOfItsTasksIsRefused() {
        fixture.addWorker("w1", 3_000);
        fixture.accept("a", step(3, 1_000, List.of(), true, false, 0));
        List<Order> orders = fixture.orders();
        fixture.scheduler.applyAnswer(orders.get(0), OrderAnswer.NO_ROOM, fixture.now);

        assertThat(fixture.scheduler.plan(fixture.now, fixture.now))
                .hasSize(2)
                .hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void aNewHolderStartsNoBegunStepUntilAllWorkersOfThePoolHaveReported() {
        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        successor.scheduler.addPredecessorWorker("w2", SchedulerFixture.POOL);
        successor.acceptBegun("old", step(1, 1_000));
        successor.accept("new", step(1, 1_000));
        successor.addWorker("w1", 2_000);

        assertThat(successor.starts()).extracting(s -> s.task().job()).containsExactly("new");

        TaskId old = new TaskId("old", 0, 0, 0);
        successor.runningByWorker.put("w2", new java.util.ArrayList<>());
        successor.runningByWorker.get("w2").add(new RunningTask(old, 1, "", 50, 0));
        successor.addWorker("w2", 2_000);
        assertThat(successor.starts()).isEmpty();
        successor.endAll("w2", RunEnd.FAILED);
        assertThat(successor.starts()).extracting(Order.Start::run).containsExactly(1_001);
    }

    @Test
    void anUnlistedWorkerIsInUseWhileItMayRunTasks() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.addWorker("w1", 3_000);
        fixture.addWorker("w2", 3_000);
        fixture.accept("job", step(3, 1_000));
        fixture.starts();
        fixture.scheduler.workerUnlisted("w1");
        fixture.scheduler.workerUnlisted("w2");
        String busy = fixture.runningByWorker.keySet().iterator().next();
        assertThat(fixture.scheduler.workersInUse()).containsOnlyKeys(busy);
        fixture.scheduler.workerLifetimeEnded(busy, fixture.now, fixture.now);
        assertThat(fixture.scheduler.workersInUse()).isEmpty();
    }

    @Test
    void aJobEndedByAnEarlierHolderIsReadOnlyIfAWorkerStillRunsIt() {
        List<String> read = new ArrayList<>();
        fixture.scheduler.acceptEnded(
                "over",
                JobStatus.of(JobState.COMPLETED),
                () -> {
                    read.add("over");
                    return Optional.of(SchedulerFixture.job("over", step(1, 1_000)));
                });
        fixture.addWorker("w1", 1_000);
        assertThat(fixture.scheduler.stateOf("over")).contains(JobState.COMPLETED);
        fixture.accept("over", step(1, 1_000));
        assertThat(fixture.starts()).isEmpty();
        assertThat(read).isEmpty();

        TaskId task = new TaskId("over", 0, 0, 0);
        fixture.runningByWorker.put("w1", List.of(new RunningTask(task, 1, "", 50, 0)));
        fixture.report("w1");
        assertThat(fixture.orders()).containsExactly(new Order.Stop("w1", task, 1));
        assertThat(read).hasSize(1);
        assertThat(fixture.scheduler.stateOf("over")).contains(JobState.COMPLETED);
    }

    /** Ends are applied in order: one that follows the end of a job not known yet has to wait. */
    @Test
    void aRunWhoseEndIsNotAppliedYetIsNotTreatedAsVanished() {
        fixture.addWorker("w1", 2_000);
        fixture.accept("a", step(1, 1_000));
        Order.Start start = fixture.starts().get(0);
        TaskId unknown = new TaskId("unknown", 0, 0, 0);
        fixture.runningByWorker.get("w1").clear();
        fixture.endedByWorker.put(
                "w1",
                List.of(
                        new EndedRun(1, unknown, 1, RunEnd.DONE, ""),
                        new EndedRun(2, start.task(), start.run(), RunEnd.DONE, "")));
        fixture.now += 10;
        fixture.report("w1");
        assertThat(fixture.starts()).isEmpty();

        fixture.accept("unknown", step(1, 1_000));
        fixture.now += 10;
        fixture.report("w1");
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
        assertThat(fixture.scheduler.stateOf("unknown")).contains(JobState.COMPLETED);
        assertThat(fixture.starts()).isEmpty();
    }

    @Test
    void aStepStartsOnlyOnceItIsStoredAsBegun() {
        fixture.addWorker("w1", 2_000);
        fixture.accept("a", step(2, 1_000));
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
        assertThat(fixture.scheduler.startGate().hasHeldStarts()).isTrue();

        UnstoredProgress unstored = fixture.scheduler.unstoredProgress();
        assertThat(unstored.progress().get("a").steps()).hasSize(1);
        fixture.scheduler.markStored(unstored);
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now))
                .hasSize(2)
                .hasOnlyElementsOfType(Order.Start.class);
        assertThat(fixture.scheduler.startGate().hasHeldStarts()).isFalse();
    }

    @Test
    void aHeldBackStartIsNotSentOnceItsJobIsCancelled() {
        fixture.addWorker("w1", 2_000);
        fixture.accept("a", step(1, 1_000));
        fixture.scheduler.plan(fixture.now, fixture.now);
        fixture.scheduler.cancel("a", fixture.now);
        fixture.store();
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now))
                .hasOnlyElementsOfType(Order.Stop.class);
    }

    /**
     * The former holder lost its network connection, with a third of the workers, while jobs
     * arrived. Steps that it cannot have started start at once, the others once the leases that it
     * granted have expired.
     */
    @Test
    void aNewHolderStartsStepsThatHadNotBegunWhileAWorkerDoesNotAnswer() {
        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        successor.scheduler.addPredecessorWorker("cut", SchedulerFixture.POOL);
        successor.acceptBegun("begun", step(1, 1_000));
        successor.accept("waiting", step(2, 1_000));
        successor.addWorker("w1", 9_000);

        assertThat(successor.starts()).hasSize(2).allMatch(s -> s.task().job().equals("waiting"));

        successor.scheduler.leaseGranted("w1", successor.now + 2 * SchedulerFixture.LEASE_MILLIS);
        successor.now += SchedulerFixture.LEASE_MILLIS + 1;
        assertThat(successor.starts()).extracting(s -> s.task().job()).containsExactly("begun");
    }

    /**
     * A new holder that cannot reach the store yet renews no lease after the first report. The run
     * must stay open until the lease that its predecessor granted has expired.
     */
    @Test
    void anAdoptedRunIsOpenUntilTheLeaseOfThePredecessorHasExpired() {
        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.acceptBegun("old", step(1, 1_000));
        successor.addWorker("w1", 2_000);
        TaskId old = new TaskId("old", 0, 0, 0);
        successor.runningByWorker.put("w2", List.of(new RunningTask(old, 1, "", 50, 0)));
        successor.scheduler.workerListed(SchedulerFixture.entry("w2", 2_000), successor.now);
        successor.report("w2");
        assertThat(successor.starts()).isEmpty();

        successor.now += SchedulerFixture.LEASE_MILLIS;
        successor.scheduler.leaseGranted("w1", successor.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(successor.starts()).isEmpty();

        successor.now += 1;
        assertThat(successor.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    @Test
    void aNewHolderWaitsNoLongerThanTheLeasesOfItsPredecessor() {
        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.scheduler.addPredecessorWorker("gone", SchedulerFixture.POOL);
        successor.acceptBegun("old", step(1, 1_000));
        successor.addWorker("w1", 2_000);
        assertThat(successor.starts()).isEmpty();

        successor.now += SchedulerFixture.LEASE_MILLIS + 1;
        successor.scheduler.leaseGranted("w1", successor.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(successor.starts()).hasSize(1);
    }

    @Test
    void tasksStoredAsDoneByAnEarlierHolderAreNotRunAgain() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", step(2, 1_000));
        fixture.starts();
        fixture.end("w1", new TaskId("a", 0, 0, 0), RunEnd.DONE);
        fixture.end("w1", new TaskId("a", 0, 0, 1), RunEnd.FAILED);
        fixture.now += 1;
        fixture.report("w1");
        JobProgress stored = fixture.scheduler.unstoredProgress().progress().get("a");

        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.accept("a", step(2, 1_000));
        successor.scheduler.restore("a", stored);
        successor.addWorker("w1", 10_000);
        assertThat(successor.starts())
                .extracting(s -> s.task().index(), Order.Start::run)
                .containsExactly(org.assertj.core.groups.Tuple.tuple(1, 1_001));
        successor.endAll("w1", RunEnd.FAILED);
        successor.store();
        assertThat(successor.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void aRestartedWorkerRunsNothingOfItsFormerLifetime() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000));
        fixture.starts();
        fixture.now += 1;

        fixture.scheduler.applyReport(
                "w1", new RunReport(2, 5, List.of(), List.of(), false), fixture.now, fixture.now);

        assertThat(fixture.starts()).extracting(Order.Start::run).containsExactly(2);
    }

    @Test
    void aLongRunningTaskAvoidsWorkersThatAMaintenanceWaveIsAboutToDrain() {
        fixture.addWorker("w1", 10_000);
        fixture.addWorker("w2", 5_000);
        fixture.scheduler.setMaintenanceDue(Set.of("w1"));
        fixture.accept("a", step(1, 1_000, List.of(), false, true, 1));
        assertThat(fixture.starts()).extracting(Order.Start::worker).containsExactly("w2");
    }

    @Test
    void scheduledOccurrencesStartWhenTheyAreDue() {
        fixture.addWorker("w1", 10_000);
        var spec =
                new org.chervillift.api.tasks.JobSpec(
                        "a",
                        "p",
                        List.of(step(1, 1_000)),
                        new org.chervillift.api.tasks.Schedule(2, 5_000, 1_000));
        fixture.scheduler.accept(
                new org.chervillift.api.tasks.AcceptedJob(
                        spec, SchedulerFixture.QUEUE_POLICY, SchedulerFixture.CUSTOMER, 1_000),
                0,
                fixture.now);
        assertThat(fixture.orders(4_999)).isEmpty();
        assertThat(fixture.orders(5_000)).hasSize(1);
        assertThat(fixture.orders(6_000)).hasSize(1);
    }

    @Test
    void aStalledRunIsStopped() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000));
        fixture.starts();
        fixture.addWorker("w2", 1_000);
        fixture.runningByWorker.put("w1", new java.util.ArrayList<>());
        fixture.runningByWorker
                .get("w1")
                .add(new RunningTask(new TaskId("a", 0, 0, 0), 1, "", 30, 0));
        fixture.report("w1");
        fixture.now += 999;
        fixture.report("w1");
        assertThat(fixture.plan()).isEmpty();

        fixture.now += 1;
        fixture.report("w1");
        assertThat(fixture.plan()).singleElement().isInstanceOf(Order.Stop.class);
    }
}
