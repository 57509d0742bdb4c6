package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.BoardFixture.step;

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

class TaskBoardTest {

    private final BoardFixture f = new BoardFixture();

    @Test
    void aJobRunsStepAfterStepAndIsCompletedOnceItsEndIsStored() {
        f.worker("w1", 10_000);
        f.accept("a", step(2, 1_000), step(1, 1_000, List.of(0), false, false, 0));

        assertThat(f.starts()).extracting(s -> s.task().step()).containsOnly(0).hasSize(2);
        f.endAll("w1", RunEnd.DONE);
        assertThat(f.starts()).extracting(s -> s.task().step()).containsExactly(1);
        f.endAll("w1", RunEnd.DONE);

        assertThat(f.board.stateOf("a")).isEmpty();
        f.store();
        assertThat(f.board.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void endsAreAcknowledgedOnlyOnceTheirEffectIsStored() {
        f.worker("w1", 10_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.endAll("w1", RunEnd.DONE);

        Unstored unstored = f.board.takeUnstored();
        assertThat(f.board.acknowledged("w1")).isZero();
        f.board.stored(unstored);
        assertThat(f.board.acknowledged("w1")).isEqualTo(1);
    }

    @Test
    void noWorkerGetsMoreThanItHolds() {
        f.worker("w1", 2_500);
        f.accept("a", step(5, 1_000));

        assertThat(f.starts()).hasSize(2);
        assertThat(f.starts()).isEmpty();
    }

    @Test
    void aTaskOnASilentWorkerStartsElsewhereOnlyWhenTheLeaseIsOver() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.board.reachable("w1", false, f.now);
        f.worker("w2", 1_000);

        f.now += BoardFixture.LEASE;
        f.board.leaseGranted("w2", f.now + BoardFixture.LEASE);
        assertThat(f.starts()).isEmpty();

        f.now += 1;
        assertThat(f.starts())
                .extracting(Order.Start::worker, Order.Start::run)
                .containsExactly(org.assertj.core.groups.Tuple.tuple("w2", 2));
    }

    @Test
    void aTaskOfACrashedWorkerStartsElsewhereAtOnceWhenItsLifetimeIsOver() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.worker("w2", 1_000);

        f.board.lifetimeOver("w1");

        assertThat(f.starts()).extracting(Order.Start::worker).containsExactly("w2");
    }

    @Test
    void anUnansweredStartIsStoppedBeforeTheTaskStartsElsewhere() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        Order start = f.orders().get(0);
        f.board.answered(start, OrderAnswer.UNKNOWN, f.now);
        f.worker("w2", 1_000);
        assertThat(f.starts()).isEmpty();

        f.now += 300;
        f.report("w1");
        List<Order> orders = f.orders();
        assertThat(orders).singleElement().isInstanceOf(Order.Stop.class);
        f.board.answered(orders.get(0), OrderAnswer.DONE, f.now);
        assertThat(f.starts()).isEmpty();

        f.now += 1;
        f.report("w1");
        assertThat(f.starts()).extracting(Order.Start::run).containsExactly(2);
    }

    @Test
    void anUnansweredStartThatTheWorkerListsGoesOn() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        Order start = f.orders().get(0);
        f.board.answered(start, OrderAnswer.UNKNOWN, f.now);
        f.now += 300;
        f.running.put("w1", List.of(new RunningTask(start.task(), start.run(), "", 10, 0)));
        f.report("w1");

        assertThat(f.board.plan(f.now, f.now)).isEmpty();
    }

    @Test
    void aJobFailsWhenATaskHasFailedTooOften() {
        f.worker("w1", 1_000);
        f.worker("w2", 1_000);
        f.accept("a", step(1, 1_000));

        String first = f.starts().get(0).worker();
        f.endAll(first, RunEnd.FAILED);
        String second = f.starts().get(0).worker();
        assertThat(second).isNotEqualTo(first);
        f.endAll(second, RunEnd.FAILED);
        f.store();

        assertThat(f.board.stateOf("a")).contains(JobState.FAILED);
        assertThat(f.starts()).isEmpty();
    }

    @Test
    void aCancelledJobIsStoppedAndNeverStartedAgain() {
        f.worker("w1", 1_000);
        f.accept("a", step(2, 1_000));
        f.starts();

        f.board.cancel("a", f.now);

        assertThat(f.plan()).singleElement().isInstanceOf(Order.Stop.class);
        f.now += 1;
        f.report("w1");
        assertThat(f.plan()).isEmpty();
        f.store();
        assertThat(f.board.stateOf("a")).contains(JobState.CANCELLED);
    }

    @Test
    void aTaskThatLastsStartsAgainHoweverItEnds() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000, List.of(), false, true, 0));
        for (RunEnd end : RunEnd.values()) {
            assertThat(f.starts()).as("after " + end).hasSize(1);
            f.endAll("w1", end);
            f.now += 1_000;
            f.board.leaseGranted("w1", f.now + BoardFixture.LEASE);
            f.now += 20_000;
            f.board.leaseGranted("w1", f.now + BoardFixture.LEASE);
        }
    }

    @Test
    void aCustomerHasNoMoreRunningThanItsLimit() {
        BoardFixture limited = new BoardFixture(1, new Resources(2_000, 0, 0));
        limited.worker("w1", 10_000);
        limited.accept("a", step(5, 1_000));

        assertThat(limited.starts()).hasSize(2);
        limited.endAll("w1", RunEnd.DONE);
        assertThat(limited.starts()).hasSize(2);
    }

    @Test
    void aGangStartsAllOrNone() {
        f.worker("w1", 2_000);
        f.accept("a", step(3, 1_000, List.of(), true, false, 0));
        assertThat(f.starts()).isEmpty();

        f.worker("w2", 1_000);
        assertThat(f.starts()).hasSize(3).extracting(Order.Start::run).containsOnly(1);
    }

    @Test
    void aGangOfWhichOneTaskWasRefusedIsStoppedWhole() {
        f.worker("w1", 3_000);
        f.accept("a", step(3, 1_000, List.of(), true, false, 0));
        List<Order> orders = f.orders();
        f.board.answered(orders.get(0), OrderAnswer.NO_ROOM, f.now);

        assertThat(f.board.plan(f.now, f.now)).hasSize(2).hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void aNewHolderStartsNothingOldUntilAllWorkersOfThePoolHaveReported() {
        BoardFixture second = new BoardFixture(2, Resources.NONE);
        second.board.predecessorUsed("w1", BoardFixture.POOL);
        second.board.predecessorUsed("w2", BoardFixture.POOL);
        second.acceptBegun("old", step(1, 1_000));
        second.accept("new", step(1, 1_000));
        second.worker("w1", 2_000);

        assertThat(second.starts()).extracting(s -> s.task().job()).containsExactly("new");

        TaskId old = new TaskId("old", 0, 0, 0);
        second.running.put("w2", new java.util.ArrayList<>());
        second.running.get("w2").add(new RunningTask(old, 1, "", 50, 0));
        second.worker("w2", 2_000);
        assertThat(second.starts()).isEmpty();
        second.endAll("w2", RunEnd.FAILED);
        assertThat(second.starts()).extracting(Order.Start::run).containsExactly(1_001);
    }

    @Test
    void aWorkerThatIsListedNoMoreIsInUseWhileItMayRunTasks() {
        BoardFixture f = new BoardFixture();
        f.worker("w1", 3_000);
        f.worker("w2", 3_000);
        f.accept("job", step(3, 1_000));
        f.starts();
        f.board.unlisted("w1");
        f.board.unlisted("w2");
        String busy = f.running.keySet().iterator().next();
        assertThat(f.board.workersInUse()).containsOnlyKeys(busy);
        f.board.lifetimeOver(busy);
        assertThat(f.board.workersInUse()).isEmpty();
    }

    @Test
    void aJobThatWasOverIsReadOnlyWhenAWorkerStillRunsIt() {
        List<String> read = new ArrayList<>();
        f.board.acceptOver(
                "over",
                JobState.COMPLETED,
                () -> {
                    read.add("over");
                    return Optional.of(BoardFixture.job("over", step(1, 1_000)));
                });
        f.worker("w1", 1_000);
        assertThat(f.board.stateOf("over")).contains(JobState.COMPLETED);
        f.accept("over", step(1, 1_000));
        assertThat(f.starts()).isEmpty();
        assertThat(read).isEmpty();

        TaskId task = new TaskId("over", 0, 0, 0);
        f.running.put("w1", List.of(new RunningTask(task, 1, "", 50, 0)));
        f.report("w1");
        assertThat(f.orders()).containsExactly(new Order.Stop("w1", task, 1));
        assertThat(read).hasSize(1);
        assertThat(f.board.stateOf("over")).contains(JobState.COMPLETED);
    }

    /** An end that is told after the end of a job that is not known yet waits for its turn. */
    @Test
    void aRunWhoseEndIsNotReadYetHasNotVanished() {
        f.worker("w1", 2_000);
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
        assertThat(f.board.stateOf("a")).contains(JobState.COMPLETED);
        assertThat(f.board.stateOf("unknown")).contains(JobState.COMPLETED);
        assertThat(f.starts()).isEmpty();
    }

    @Test
    void aStepStartsOnlyOnceItIsStoredThatItHasBegun() {
        f.worker("w1", 2_000);
        f.accept("a", step(2, 1_000));
        assertThat(f.board.plan(f.now, f.now)).isEmpty();
        assertThat(f.board.holdsStarts()).isTrue();

        Unstored unstored = f.board.takeUnstored();
        assertThat(unstored.progress().get("a").steps()).hasSize(1);
        f.board.stored(unstored);
        assertThat(f.board.plan(f.now, f.now)).hasSize(2).hasOnlyElementsOfType(Order.Start.class);
        assertThat(f.board.holdsStarts()).isFalse();
    }

    @Test
    void aStartThatIsHeldBackIsNotSentOnceItsJobIsCancelled() {
        f.worker("w1", 2_000);
        f.accept("a", step(1, 1_000));
        f.board.plan(f.now, f.now);
        f.board.cancel("a", f.now);
        f.store();
        assertThat(f.board.plan(f.now, f.now)).hasOnlyElementsOfType(Order.Stop.class);
    }

    /**
     * The holder was cut off with a third of the workers while jobs came in: what it cannot have
     * started starts at once, and the rest when the leases that it gave are over.
     */
    @Test
    void aNewHolderStartsStepsThatHadNotBegunWhileAWorkerDoesNotAnswer() {
        BoardFixture second = new BoardFixture(2, Resources.NONE);
        second.board.predecessorUsed("w1", BoardFixture.POOL);
        second.board.predecessorUsed("cut", BoardFixture.POOL);
        second.acceptBegun("begun", step(1, 1_000));
        second.accept("waiting", step(2, 1_000));
        second.worker("w1", 9_000);

        assertThat(second.starts()).hasSize(2).allMatch(s -> s.task().job().equals("waiting"));

        second.board.leaseGranted("w1", second.now + 2 * BoardFixture.LEASE);
        second.now += BoardFixture.LEASE + 1;
        assertThat(second.starts()).extracting(s -> s.task().job()).containsExactly("begun");
    }

    /** A new holder that cannot reach the store at once renews no lease after the first report. */
    @Test
    void aRunTakenOverIsNotOverBeforeTheLeaseThatThePredecessorGave() {
        BoardFixture second = new BoardFixture(2, Resources.NONE);
        second.acceptBegun("old", step(1, 1_000));
        second.worker("w1", 2_000);
        TaskId old = new TaskId("old", 0, 0, 0);
        second.running.put("w2", List.of(new RunningTask(old, 1, "", 50, 0)));
        second.board.listed(BoardFixture.entry("w2", 2_000));
        second.report("w2");
        assertThat(second.starts()).isEmpty();

        second.now += BoardFixture.LEASE;
        second.board.leaseGranted("w1", second.now + BoardFixture.LEASE);
        assertThat(second.starts()).isEmpty();

        second.now += 1;
        assertThat(second.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    @Test
    void aNewHolderWaitsNoLongerThanTheLeasesThatItsPredecessorGave() {
        BoardFixture second = new BoardFixture(2, Resources.NONE);
        second.board.predecessorUsed("gone", BoardFixture.POOL);
        second.acceptBegun("old", step(1, 1_000));
        second.worker("w1", 2_000);
        assertThat(second.starts()).isEmpty();

        second.now += BoardFixture.LEASE + 1;
        second.board.leaseGranted("w1", second.now + BoardFixture.LEASE);
        assertThat(second.starts()).hasSize(1);
    }

    @Test
    void whatAnEarlierHolderStoredIsNotDoneAgain() {
        f.worker("w1", 10_000);
        f.accept("a", step(2, 1_000));
        f.starts();
        f.end("w1", new TaskId("a", 0, 0, 0), RunEnd.DONE);
        f.end("w1", new TaskId("a", 0, 0, 1), RunEnd.FAILED);
        f.now += 1;
        f.report("w1");
        JobProgress stored = f.board.takeUnstored().progress().get("a");

        BoardFixture second = new BoardFixture(2, Resources.NONE);
        second.accept("a", step(2, 1_000));
        second.board.restore("a", stored);
        second.worker("w1", 10_000);
        assertThat(second.starts())
                .extracting(s -> s.task().index(), Order.Start::run)
                .containsExactly(org.assertj.core.groups.Tuple.tuple(1, 1_001));
        second.endAll("w1", RunEnd.FAILED);
        second.store();
        assertThat(second.board.stateOf("a")).contains(JobState.FAILED);
    }

    @Test
    void aNewLifetimeUnderTheSameNameRunsNothingOfBefore() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();

        f.board.reported("w1", new RunReport(2, 5, List.of(), List.of()), f.now, f.now);

        assertThat(f.starts()).extracting(Order.Start::run).containsExactly(2);
    }

    @Test
    void emptyingAWorkerTakesNoMoreOfAServiceThanItMayMiss() {
        f.worker("w1", 1_000);
        f.worker("w2", 1_000);
        f.accept("a", step(2, 1_000, List.of(), false, true, 1));
        f.starts();
        f.report("w1");
        f.report("w2");

        f.board.empty("w1", false, f.now);
        f.board.empty("w2", false, f.now);

        assertThat(f.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void timedOccurrencesWaitForTheirTime() {
        f.worker("w1", 10_000);
        var spec =
                new org.chervillift.api.tasks.JobSpec(
                        "a",
                        "p",
                        List.of(step(1, 1_000)),
                        new org.chervillift.api.tasks.Schedule(2, 5_000, 1_000));
        f.board.accept(
                new org.chervillift.api.tasks.AcceptedJob(
                        spec, BoardFixture.POLICY, BoardFixture.CUSTOMER, 1_000),
                0,
                f.now);
        assertThat(f.orders(4_999)).isEmpty();
        assertThat(f.orders(5_000)).hasSize(1);
        assertThat(f.orders(6_000)).hasSize(1);
    }

    @Test
    void aRunThatStandsStillIsStoppedAndStartsElsewhere() {
        f.worker("w1", 1_000);
        f.accept("a", step(1, 1_000));
        f.starts();
        f.worker("w2", 1_000);
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
