package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

class TaskSchedulerTest {

    private final SchedulerFixture f = new SchedulerFixture();

    @Test
    void aJobRunsStepAfterStepAndIsCompletedOnceItsEndIsStored() {
        f.addWorker("w1", 10_000);
        f.accept("a", step(2, 1_000), step(1, 1_000, List.of(0), false, false, 0));

        assertThat(f.starts()).extracting(s -> s.task().step()).containsOnly(0).hasSize(2);
        f.endAll("w1", RunEnd.DONE);
        assertThat(f.starts()).extracting(s -> s.task().step()).containsExactly(1);
        f.endAll("w1", RunEnd.DONE);

        assertThat(f.scheduler.stateOf("a")).isEmpty();
        f.store();
        assertThat(f.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void endsAreAcknowledgedOnlyOnceTheirEffectIsStored() {
        f.addWorker("w1", 10_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.endAll("w1", RunEnd.DONE);

        UnstoredProgress unstored = f.scheduler.unstoredProgress();
        assertThat(f.scheduler.acknowledgedEnd("w1")).isZero();
        f.scheduler.markStored(unstored);
        assertThat(f.scheduler.acknowledgedEnd("w1")).isEqualTo(1);
    }

    @Test
    void noWorkerGetsMoreThanItHolds() {
        f.addWorker("w1", 2_500);
        f.accept("a", step(5, 1_000));

        assertThat(f.starts()).hasSize(2);
        assertThat(f.starts()).isEmpty();
    }

    @Test
    void aTaskOnASilentWorkerStartsElsewhereOnlyWhenTheLeaseIsOver() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.scheduler.setReachable("w1", false, f.now);
        f.addWorker("w2", 1_000);

        f.now += SchedulerFixture.LEASE;
        f.scheduler.leaseGranted("w2", f.now + SchedulerFixture.LEASE);
        assertThat(f.starts()).isEmpty();

        f.now += 1;
        assertThat(f.starts())
                .extracting(Order.Start::worker, Order.Start::run)
                .containsExactly(org.assertj.core.groups.Tuple.tuple("w2", 2));
    }

    @Test
    void aTaskOfACrashedWorkerStartsElsewhereAtOnceWhenItsLifetimeIsOver() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.addWorker("w2", 1_000);

        f.scheduler.workerLifetimeEnded("w1");

        assertThat(f.starts()).extracting(Order.Start::worker).containsExactly("w2");
    }

    @Test
    void anUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        Order start = f.orders().get(0);
        f.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, f.now);
        f.addWorker("w2", 1_000);
        assertThat(f.starts()).isEmpty();

        f.now += 300;
        f.report("w1");
        List<Order> orders = f.orders();
        assertThat(orders).singleElement().isInstanceOf(Order.Stop.class);
        f.scheduler.applyAnswer(orders.get(0), OrderAnswer.DONE, f.now);
        assertThat(f.starts()).isEmpty();

        f.now += 1;
        f.report("w1");
        assertThat(f.starts()).extracting(Order.Start::run).containsExactly(2);
    }

    @Test
    void anUnansweredStartThatTheWorkerListsGoesOn() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        Order start = f.orders().get(0);
        f.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, f.now);
        f.now += 300;
        f.running.put("w1", List.of(new RunningTask(start.task(), start.run(), "", 10, 0)));
        f.report("w1");

        assertThat(f.scheduler.plan(f.now, f.now)).isEmpty();
    }

    @Test
    void aJobFailsWhenATaskHasFailedTooOften() {
        f.addWorker("w1", 1_000);
        f.addWorker("w2", 1_000);
        f.accept("a", step(1, 1_000));

        String first = f.starts().get(0).worker();
        f.endAll(first, RunEnd.FAILED);
        String second = f.starts().get(0).worker();
        assertThat(second).isNotEqualTo(first);
        f.endAll(second, RunEnd.FAILED);
        f.store();

        assertThat(f.scheduler.stateOf("a")).contains(JobState.FAILED);
        assertThat(f.starts()).isEmpty();
    }

    @Test
    void aCancelledJobIsStoppedAndNeverStartedAgain() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(2, 1_000));
        f.starts();

        f.scheduler.cancel("a", f.now);

        assertThat(f.plan()).singleElement().isInstanceOf(Order.Stop.class);
        f.now += 1;
        f.report("w1");
        assertThat(f.plan()).isEmpty();
        f.store();
        assertThat(f.scheduler.stateOf("a")).contains(JobState.CANCELLED);
    }

    @Test
    void aTaskThatLastsStartsAgainHoweverItEnds() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000, List.of(), false, true, 0));
        for (RunEnd end : RunEnd.values()) {
            assertThat(f.starts()).as("after " + end).hasSize(1);
            f.endAll("w1", end);
            f.now += 1_000;
            f.scheduler.leaseGranted("w1", f.now + SchedulerFixture.LEASE);
            f.now += 20_000;
            f.scheduler.leaseGranted("w1", f.now + SchedulerFixture.LEASE);
        }
    }

    @Test
    void aCustomerHasNoMoreRunningThanItsLimit() {
        SchedulerFixture limited = new SchedulerFixture(1, new Resources(2_000, 0, 0));
        limited.addWorker("w1", 10_000);
        limited.accept("a", step(5, 1_000));

        assertThat(limited.starts()).hasSize(2);
        limited.endAll("w1", RunEnd.DONE);
        assertThat(limited.starts()).hasSize(2);
    }

    @Test
    void aGangStartsAllOrNone() {
        f.addWorker("w1", 2_000);
        f.accept("a", step(3, 1_000, List.of(), true, false, 0));
        assertThat(f.starts()).isEmpty();

        f.addWorker("w2", 1_000);
        assertThat(f.starts()).hasSize(3).extracting(Order.Start::run).containsOnly(1);
    }

    @Test
    void aGangOfWhichOneTaskWasRefusedIsStoppedWhole() {
        f.addWorker("w1", 3_000);
        f.accept("a", step(3, 1_000, List.of(), true, false, 0));
        List<Order> orders = f.orders();
        f.scheduler.applyAnswer(orders.get(0), OrderAnswer.NO_ROOM, f.now);

        assertThat(f.scheduler.plan(f.now, f.now))
                .hasSize(2)
                .hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void aNewHolderStartsNothingOldUntilAllWorkersOfThePoolHaveReported() {
        SchedulerFixture second = new SchedulerFixture(2, Resources.NONE);
        second.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        second.scheduler.addPredecessorWorker("w2", SchedulerFixture.POOL);
        second.acceptBegun("old", step(1, 1_000));
        second.accept("new", step(1, 1_000));
        second.addWorker("w1", 2_000);

        assertThat(second.starts()).extracting(s -> s.task().job()).containsExactly("new");

        TaskId old = new TaskId("old", 0, 0, 0);
        second.running.put("w2", new java.util.ArrayList<>());
        second.running.get("w2").add(new RunningTask(old, 1, "", 50, 0));
        second.addWorker("w2", 2_000);
        assertThat(second.starts()).isEmpty();
        second.endAll("w2", RunEnd.FAILED);
        assertThat(second.starts()).extracting(Order.Start::run).containsExactly(1_001);
    }

    @Test
    void aWorkerThatIsListedNoMoreIsInUseWhileItMayRunTasks() {
        SchedulerFixture f = new SchedulerFixture();
        f.addWorker("w1", 3_000);
        f.addWorker("w2", 3_000);
        f.accept("job", step(3, 1_000));
        f.starts();
        f.scheduler.workerUnlisted("w1");
        f.scheduler.workerUnlisted("w2");
        String busy = f.running.keySet().iterator().next();
        assertThat(f.scheduler.workersInUse()).containsOnlyKeys(busy);
        f.scheduler.workerLifetimeEnded(busy);
        assertThat(f.scheduler.workersInUse()).isEmpty();
    }

    @Test
    void aJobThatWasOverIsReadOnlyWhenAWorkerStillRunsIt() {
        List<String> read = new ArrayList<>();
        f.scheduler.acceptEnded(
                "over",
                JobState.COMPLETED,
                () -> {
                    read.add("over");
                    return Optional.of(SchedulerFixture.job("over", step(1, 1_000)));
                });
        f.addWorker("w1", 1_000);
        assertThat(f.scheduler.stateOf("over")).contains(JobState.COMPLETED);
        f.accept("over", step(1, 1_000));
        assertThat(f.starts()).isEmpty();
        assertThat(read).isEmpty();

        TaskId task = new TaskId("over", 0, 0, 0);
        f.running.put("w1", List.of(new RunningTask(task, 1, "", 50, 0)));
        f.report("w1");
        assertThat(f.orders()).containsExactly(new Order.Stop("w1", task, 1));
        assertThat(read).hasSize(1);
        assertThat(f.scheduler.stateOf("over")).contains(JobState.COMPLETED);
    }

    /** An end that is told after the end of a job that is not known yet waits for its turn. */
    @Test
    void aRunWhoseEndIsNotReadYetHasNotVanished() {
        f.addWorker("w1", 2_000);
        f.accept("a", step(1, 1_000));
        Order.Start start = f.starts().get(0);
        TaskId unknown = new TaskId("unknown", 0, 0, 0);
        f.running.get("w1").clear();
        f.ended.put(
                "w1",
                List.of(
                        new EndedRun(1, unknown, 1, RunEnd.DONE, ""),
                        new EndedRun(2, start.task(), start.run(), RunEnd.DONE, "")));
        f.now += 10;
        f.report("w1");
        assertThat(f.starts()).isEmpty();

        f.accept("unknown", step(1, 1_000));
        f.now += 10;
        f.report("w1");
        f.store();
        assertThat(f.scheduler.stateOf("a")).contains(JobState.COMPLETED);
        assertThat(f.scheduler.stateOf("unknown")).contains(JobState.COMPLETED);
        assertThat(f.starts()).isEmpty();
    }

    @Test
    void aStepStartsOnlyOnceItIsStoredThatItHasBegun() {
        f.addWorker("w1", 2_000);
        f.accept("a", step(2, 1_000));
        assertThat(f.scheduler.plan(f.now, f.now)).isEmpty();
        assertThat(f.scheduler.hasHeldStarts()).isTrue();

        UnstoredProgress unstored = f.scheduler.unstoredProgress();
        assertThat(unstored.progress().get("a").steps()).hasSize(1);
        f.scheduler.markStored(unstored);
        assertThat(f.scheduler.plan(f.now, f.now))
                .hasSize(2)
                .hasOnlyElementsOfType(Order.Start.class);
        assertThat(f.scheduler.hasHeldStarts()).isFalse();
    }

    @Test
    void aStartThatIsHeldBackIsNotSentOnceItsJobIsCancelled() {
        f.addWorker("w1", 2_000);
        f.accept("a", step(1, 1_000));
        f.scheduler.plan(f.now, f.now);
        f.scheduler.cancel("a", f.now);
        f.store();
        assertThat(f.scheduler.plan(f.now, f.now)).hasOnlyElementsOfType(Order.Stop.class);
    }

    /**
     * The holder was cut off with a third of the workers while jobs came in: what it cannot have
     * started starts at once, and the rest when the leases that it gave are over.
     */
    @Test
    void aNewHolderStartsStepsThatHadNotBegunWhileAWorkerDoesNotAnswer() {
        SchedulerFixture second = new SchedulerFixture(2, Resources.NONE);
        second.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        second.scheduler.addPredecessorWorker("cut", SchedulerFixture.POOL);
        second.acceptBegun("begun", step(1, 1_000));
        second.accept("waiting", step(2, 1_000));
        second.addWorker("w1", 9_000);

        assertThat(second.starts()).hasSize(2).allMatch(s -> s.task().job().equals("waiting"));

        second.scheduler.leaseGranted("w1", second.now + 2 * SchedulerFixture.LEASE);
        second.now += SchedulerFixture.LEASE + 1;
        assertThat(second.starts()).extracting(s -> s.task().job()).containsExactly("begun");
    }

    /** A new holder that cannot reach the store at once renews no lease after the first report. */
    @Test
    void aRunTakenOverIsNotOverBeforeTheLeaseThatThePredecessorGave() {
        SchedulerFixture second = new SchedulerFixture(2, Resources.NONE);
        second.acceptBegun("old", step(1, 1_000));
        second.addWorker("w1", 2_000);
        TaskId old = new TaskId("old", 0, 0, 0);
        second.running.put("w2", List.of(new RunningTask(old, 1, "", 50, 0)));
        second.scheduler.workerListed(SchedulerFixture.entry("w2", 2_000));
        second.report("w2");
        assertThat(second.starts()).isEmpty();

        second.now += SchedulerFixture.LEASE;
        second.scheduler.leaseGranted("w1", second.now + SchedulerFixture.LEASE);
        assertThat(second.starts()).isEmpty();

        second.now += 1;
        assertThat(second.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    @Test
    void aNewHolderWaitsNoLongerThanTheLeasesThatItsPredecessorGave() {
        SchedulerFixture second = new SchedulerFixture(2, Resources.NONE);
        second.scheduler.addPredecessorWorker("gone", SchedulerFixture.POOL);
        second.acceptBegun("old", step(1, 1_000));
        second.addWorker("w1", 2_000);
        assertThat(second.starts()).isEmpty();

        second.now += SchedulerFixture.LEASE + 1;
        second.scheduler.leaseGranted("w1", second.now + SchedulerFixture.LEASE);
        assertThat(second.starts()).hasSize(1);
    }

    @Test
    void whatAnEarlierHolderStoredIsNotDoneAgain() {
        f.addWorker("w1", 10_000);
        f.accept("a", step(2, 1_000));
        f.starts();
        f.end("w1", new TaskId("a", 0, 0, 0), RunEnd.DONE);
        f.end("w1", new TaskId("a", 0, 0, 1), RunEnd.FAILED);
        f.now += 1;
        f.report("w1");
        JobProgress stored = f.scheduler.unstoredProgress().progress().get("a");

        SchedulerFixture second = new SchedulerFixture(2, Resources.NONE);
        second.accept("a", step(2, 1_000));
        second.scheduler.restore("a", stored);
        second.addWorker("w1", 10_000);
        assertThat(second.starts())
                .extracting(s -> s.task().index(), Order.Start::run)
                .containsExactly(org.assertj.core.groups.Tuple.tuple(1, 1_001));
        second.endAll("w1", RunEnd.FAILED);
        second.store();
        assertThat(second.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void aNewLifetimeUnderTheSameNameRunsNothingOfBefore() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();

        f.scheduler.applyReport("w1", new RunReport(2, 5, List.of(), List.of()), f.now, f.now);

        assertThat(f.starts()).extracting(Order.Start::run).containsExactly(2);
    }

    @Test
    void emptyingAWorkerTakesNoMoreOfAServiceThanItMayMiss() {
        f.addWorker("w1", 1_000);
        f.addWorker("w2", 1_000);
        f.accept("a", step(2, 1_000, List.of(), false, true, 1));
        f.starts();
        f.report("w1");
        f.report("w2");

        f.scheduler.drain("w1", false, f.now);
        f.scheduler.drain("w2", false, f.now);

        assertThat(f.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void timedOccurrencesWaitForTheirTime() {
        f.addWorker("w1", 10_000);
        var spec =
                new org.chervillift.api.tasks.JobSpec(
                        "a",
                        "p",
                        List.of(step(1, 1_000)),
                        new org.chervillift.api.tasks.Schedule(2, 5_000, 1_000));
        f.scheduler.accept(
                new org.chervillift.api.tasks.AcceptedJob(
                        spec, SchedulerFixture.POLICY, SchedulerFixture.CUSTOMER, 1_000),
                0,
                f.now);
        assertThat(f.orders(4_999)).isEmpty();
        assertThat(f.orders(5_000)).hasSize(1);
        assertThat(f.orders(6_000)).hasSize(1);
    }

    @Test
    void aRunThatStandsStillIsStoppedAndStartsElsewhere() {
        f.addWorker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.addWorker("w2", 1_000);
        f.running.put("w1", new java.util.ArrayList<>());
        f.running.get("w1").add(new RunningTask(new TaskId("a", 0, 0, 0), 1, "", 30, 0));
        f.report("w1");
        f.now += 999;
        f.report("w1");
        assertThat(f.plan()).isEmpty();

        f.now += 1;
        f.report("w1");
        assertThat(f.plan()).singleElement().isInstanceOf(Order.Stop.class);
    }
}
