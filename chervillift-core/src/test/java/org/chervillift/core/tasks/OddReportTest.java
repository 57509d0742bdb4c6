package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests numbers in reports that no holder or worker can have given. A run number near the largest
 * int kept its task from starting for good.
 */
class OddReportTest {

    private static final String WORKER = "w1";
    private static final TaskId TASK = new TaskId("a", 0, 0, 0);
    private static final int NUMBERS_PER_TERM = 1_000;
    private static final int MAX_REFUSALS = 20;
    private static final long BACK_OFF_MILLIS = 200;
    private static final long UNKNOWN_END_DELAY_MILLIS = 1_000;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void startTask() {
        fixture.addWorker(WORKER, 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.starts()).hasSize(1);
    }

    private void report(List<RunningTask> running, List<EndedRun> ended) {
        fixture.now += 1;
        fixture.scheduler.applyReport(
                WORKER,
                new RunReport(1, fixture.now, running, ended, false),
                fixture.now,
                fixture.now);
    }

    private static RunningTask running(TaskId task, int run) {
        return new RunningTask(task, run, "", 0, 0);
    }

    private static EndedRun ended(long number, TaskId task, int run, RunEnd end) {
        return new EndedRun(number, task, run, end, "");
    }

    private void assertStartsAgain() {
        fixture.now += BACK_OFF_MILLIS;
        assertThat(fixture.starts())
                .singleElement()
                .matches(s -> s.run() > 1 && s.run() <= NUMBERS_PER_TERM);
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MAX_VALUE, Integer.MAX_VALUE - 1, 0, -1, Integer.MIN_VALUE})
    void taskStartsAgainAfterItsRunWasListedUnderAnOddNumber(int run) {
        startTask();
        report(List.of(running(TASK, run)), List.of());
        assertThat(fixture.plan()).isEmpty();
        report(List.of(running(TASK, 1)), List.of());
        assertThat(fixture.plan()).isEmpty();
        report(List.of(), List.of(ended(1, TASK, 1, RunEnd.FAILED)));
        assertStartsAgain();
    }

    @ParameterizedTest
    @ValueSource(ints = {Integer.MAX_VALUE, 0, -1, Integer.MIN_VALUE})
    void taskStartsAgainAfterAnEndWithAnOddRunNumber(int run) {
        startTask();
        report(List.of(), List.of(ended(1, TASK, run, RunEnd.FAILED)));
        assertStartsAgain();
    }

    @Test
    void taskStartsAgainAfterAnOddRunNumberWasStored() {
        fixture.addWorker(WORKER, 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        JobProgress.TaskFailures failures =
                new JobProgress.TaskFailures(
                        0, List.of(1, Integer.MAX_VALUE), JobProgress.TaskCrashes.NONE);
        fixture.scheduler.restore(
                "a",
                new JobProgress(
                        1,
                        JobState.RUNNING,
                        List.of(
                                new JobProgress.StepProgress(
                                        0,
                                        0,
                                        List.of(),
                                        List.of(failures),
                                        List.of(SchedulerFixture.POOL),
                                        List.of()))));
        assertStartsAgain();
    }

    /** All later ends of the worker were ignored, and it was told to forget them. */
    @ParameterizedTest
    @ValueSource(longs = {Long.MAX_VALUE, 1_000_000_000_000L, 0, -1})
    void endsAreAppliedAfterOneWithAnOddNumber(long number) {
        startTask();
        TaskId unknown = new TaskId("a", 0, 0, 0);
        report(
                List.of(running(TASK, 1)),
                List.of(ended(number, unknown, Integer.MAX_VALUE, RunEnd.STOPPED)));
        fixture.store();
        assertThat(fixture.scheduler.acknowledgedEnd(WORKER)).isZero();

        report(List.of(), List.of(ended(1, TASK, 1, RunEnd.DONE)));
        fixture.store();
        assertThat(fixture.scheduler.acknowledgedEnd(WORKER)).isEqualTo(1);
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    /** It can never become known, unlike a task of a job that was not read yet. */
    @Test
    void endOfATaskThatIsNotInItsJobDoesNotDelayTheEndsAfterIt() {
        startTask();
        TaskId beyond = new TaskId("a", 0, 7, Integer.MAX_VALUE);
        report(
                List.of(),
                List.of(ended(1, beyond, 1, RunEnd.DONE), ended(2, TASK, 1, RunEnd.DONE)));
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    /** The run is over; whether the task did its work is not known, so it is done again. */
    @Test
    void taskStartsAgainAfterAnEndOfAnUnknownKind() {
        startTask();
        report(List.of(), List.of(ended(1, TASK, 1, RunEnd.UNKNOWN)));
        assertThat(fixture.starts()).isEmpty();
        fixture.now += UNKNOWN_END_DELAY_MILLIS;
        assertStartsAgain();
        fixture.store();
        assertThat(fixture.scheduler.acknowledgedEnd(WORKER)).isEqualTo(1);
        assertThat(fixture.events)
                .filteredOn(e -> e.kind() == SchedulerEvent.Kind.ODD_ENTRY)
                .hasSize(1);
    }

    @Test
    void restOfAReportWithAnOddEntryIsApplied() {
        fixture.addWorker(WORKER, 4_000);
        fixture.accept("a", SchedulerFixture.step(2, 1_000));
        assertThat(fixture.starts()).hasSize(2);
        report(
                List.of(running(TASK, Integer.MAX_VALUE)),
                List.of(ended(1, new TaskId("a", 0, 0, 1), 1, RunEnd.DONE)));
        report(List.of(), List.of(ended(2, TASK, 1, RunEnd.DONE)));
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    /** A task that is refused often uses more numbers in one term than the next one begins at. */
    @Test
    void taskThatUsedTheNumbersOfLaterTermsStartsSoonUnderANewHolder() {
        int usedByPredecessor = 5 * NUMBERS_PER_TERM;
        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.addWorker(WORKER, 4_000);
        successor.accept("a", SchedulerFixture.step(1, 1_000));
        for (int i = 0; i < MAX_REFUSALS; i++) {
            for (Order order : successor.orders()) {
                boolean tooOld = ((Order.Start) order).run() <= usedByPredecessor;
                successor.scheduler.applyAnswer(
                        order, tooOld ? OrderAnswer.RUN_TOO_OLD : OrderAnswer.DONE, successor.now);
            }
            successor.now += BACK_OFF_MILLIS;
        }
        assertThat(successor.scheduler.pendingByQueue()).isEmpty();
    }

    @Test
    void runNumbersOfALateTermDoNotOverflow() {
        SchedulerFixture successor = new SchedulerFixture(Integer.MAX_VALUE, Resources.NONE);
        successor.addWorker(WORKER, 4_000);
        successor.accept("a", SchedulerFixture.step(1, 1_000));
        assertThat(successor.starts())
                .singleElement()
                .matches(s -> s.run() > NUMBERS_PER_TERM * NUMBERS_PER_TERM);
    }
}
