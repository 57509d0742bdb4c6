package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.junit.jupiter.api.Test;

/** Tests which runs are taken for runs that make no progress. */
class StalledRunTest {

    private static final long SLOW_MILLIS = 1_500;
    private static final long WORKER_CLOCK = 700_000;
    private static final String WORKER = "w1";

    private final SchedulerFixture fixture = new SchedulerFixture();
    private long workerClock = WORKER_CLOCK;

    /** Starts a task; the worker has room for one more. */
    private void startOne() {
        fixture.addWorker(WORKER, 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 500));
        assertThat(fixture.starts()).hasSize(1);
    }

    /** Reads a report that the worker made when its clock showed some time. */
    private void report(int percent) {
        List<RunningTask> running =
                fixture.runningByWorker.get(WORKER).stream()
                        .map(r -> new RunningTask(r.task(), r.run(), "", percent, 0))
                        .toList();
        fixture.scheduler.applyReport(
                WORKER,
                new RunReport(1, workerClock, running, List.of(), false),
                fixture.now,
                fixture.now);
        fixture.scheduler.leaseGranted(WORKER, fixture.now + SchedulerFixture.LEASE_MILLIS);
    }

    private long startsOfNextJob() {
        fixture.accept("b", SchedulerFixture.step(1, 500));
        return fixture.starts().stream().filter(s -> s.task().job().equals("b")).count();
    }

    /** The time of the order counted, so that a slow call cost the worker 3 s without tasks. */
    @Test
    void anOrderThatIsCarriedOutLateIsNoRunWithoutProgress() {
        startOne();
        fixture.now += SLOW_MILLIS;
        report(0);
        assertThat(startsOfNextJob()).isEqualTo(1);
        assertThat(fixture.events).noneMatch(StalledRunTest::isStandstill);
    }

    /** The time at which a report was read counted, not the time at which it was made. */
    @Test
    void aReportThatIsReadLateDoesNotTellOfARunWithoutProgress() {
        startOne();
        report(0);
        workerClock += 1;
        fixture.now += SLOW_MILLIS;
        report(0);
        assertThat(startsOfNextJob()).isEqualTo(1);
        assertThat(fixture.events).noneMatch(StalledRunTest::isStandstill);
    }

    @Test
    void aRunWithoutProgressByTheWorkersClockIsStopped() {
        startOne();
        report(0);
        workerClock += SLOW_MILLIS;
        fixture.now += SLOW_MILLIS;
        report(0);
        assertThat(fixture.plan()).anyMatch(Order.Stop.class::isInstance);
        assertThat(fixture.events).anyMatch(StalledRunTest::isStandstill);
        assertThat(startsOfNextJob()).isZero();
    }

    private static boolean isStandstill(SchedulerEvent event) {
        return event.kind() == SchedulerEvent.Kind.STANDSTILL;
    }
}
