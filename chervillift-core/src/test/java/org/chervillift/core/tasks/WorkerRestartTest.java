package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.WorkerEntry;
import org.junit.jupiter.api.Test;

/** Tests orders and reports that cross a restart of a worker under its identifier. */
class WorkerRestartTest {

    private static final long MILLI_CORES = 4_000;
    private static final long FORMER = 1;
    private static final long NEXT = 2;

    private final SchedulerFixture fixture = new SchedulerFixture();
    private Order.Start start;

    private void startOnWorker() {
        fixture.addWorker("w1", MILLI_CORES);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        start = (Order.Start) fixture.orders().getFirst();
        fixture.addWorker("w2", MILLI_CORES);
        fixture.now += 1;
    }

    /** The run was closed and started elsewhere, although the new lifetime had taken the order. */
    @Test
    void aRunThatTheNewLifetimeHasTakenIsNotStartedElsewhere() {
        startOnWorker();
        answer(OrderAnswer.DONE);
        restart();
        assertThat(fixture.starts()).isEmpty();
        reportNext(List.of(new RunningTask(start.task(), start.run(), "", 10, 0)), List.of());
        assertThat(fixture.starts()).isEmpty();
        reportNext(List.of(), List.of(new EndedRun(1, start.task(), start.run(), RunEnd.DONE, "")));
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a").orElseThrow().isFinal()).isTrue();
    }

    @Test
    void aRunThatTheFormerLifetimeHasTakenStartsElsewhereOnceTheNewOneReports() {
        startOnWorker();
        answer(OrderAnswer.DONE);
        restart();
        reportNext(List.of(), List.of());
        assertThat(fixture.starts()).hasSize(1);
        assertThat(crashes()).containsExactly(start.run());
    }

    @Test
    void aRunThatTheFormerLifetimeHasListedStartsElsewhereAtOnce() {
        startOnWorker();
        answer(OrderAnswer.DONE);
        report(FORMER, List.of(new RunningTask(start.task(), start.run(), "", 10, 0)), List.of());
        restart();
        assertThat(fixture.starts()).hasSize(1);
    }

    /**
     * An order without an answer may be carried out by the new lifetime, so it is stopped there.
     */
    @Test
    void aStartWithoutAnAnswerIsStoppedOnTheNewLifetimeBeforeItsTaskStartsElsewhere() {
        startOnWorker();
        restart();
        answer(OrderAnswer.UNKNOWN);
        fixture.now += 1;
        reportNext(List.of(), List.of());
        Order stop = fixture.scheduler.plan(fixture.now, fixture.now).getFirst();
        assertThat(stop).isEqualTo(new Order.Stop("w1", start.task(), start.run()));
        fixture.scheduler.applyAnswer(stop, OrderAnswer.DONE, fixture.now);
        fixture.now += 1;
        reportNext(List.of(), List.of());
        assertThat(fixture.starts()).hasSize(1);
    }

    /** A report that was late made the former lifetime the present one again. */
    @Test
    void aLateReportOfTheFormerLifetimeIsIgnored() {
        startOnWorker();
        answer(OrderAnswer.DONE);
        restart();
        reportNext(List.of(new RunningTask(start.task(), start.run(), "", 10, 0)), List.of());
        report(FORMER, List.of(), List.of());
        assertThat(fixture.starts()).isEmpty();
    }

    private void answer(OrderAnswer answer) {
        fixture.scheduler.applyAnswer(start, answer, fixture.now);
        fixture.now += 1;
    }

    private void restart() {
        WorkerEntry next =
                SchedulerFixture.entry(
                        "w1",
                        NEXT,
                        "vm-w1",
                        new Resources(MILLI_CORES, 10_000, 0),
                        List.of("a", "rack-1"));
        fixture.scheduler.workerListed(next, fixture.now);
        fixture.now += 1;
    }

    private void reportNext(List<RunningTask> running, List<EndedRun> ended) {
        report(NEXT, running, ended);
    }

    private void report(long born, List<RunningTask> running, List<EndedRun> ended) {
        fixture.scheduler.applyReport(
                "w1",
                new RunReport(born, fixture.now, running, ended, false),
                fixture.now,
                fixture.now);
        fixture.now += 1;
    }

    private List<Integer> crashes() {
        return fixture.lastStored
                .get("a")
                .steps()
                .getFirst()
                .failures()
                .getFirst()
                .crashes()
                .confirmed();
    }
}
