package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.RackFixture.CORE;
import static org.chervillift.core.tasks.RackFixture.FAR;
import static org.chervillift.core.tasks.RackFixture.NEAR;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.StandstillReport.WaitingSteps;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how long steps wait for a place in the rack of their data. */
class RackWaitTest {

    private static final long RUN_MILLIS = 1_000;
    private static final double FACTOR = 3;
    private static final int BURST = 5;
    private static final int BUSY_JOBS = 60;
    private static final double BUSY_GAP_MILLIS = 400;

    /** The time of one core that a round may take, 50 ms. */
    private static final long MAX_ROUND_NANOS = 50_000_000;

    private static final long BURST_MILLIS = 4_000;

    /** Two places near the data and eight elsewhere; five jobs arrive each 4 s. */
    private static RackFixture replay(double remoteFactor, double realFactor) {
        RackFixture replay = new RackFixture(remoteFactor, realFactor, RUN_MILLIS);
        replay.addWorkers(NEAR, 2, CORE);
        replay.addWorkers(FAR, 8, CORE);
        for (int i = 0; i < 40; i++) {
            replay.fixture.accept("j" + i, RackFixture.step(1, RUN_MILLIS, NEAR, false));
            if (i % BURST == BURST - 1) {
                replay.runUntil(replay.fixture.now + BURST_MILLIS);
            }
        }
        replay.runUntil(replay.fixture.now + BURST_MILLIS);
        assertThat(replay.doneAt).hasSize(40);
        return replay;
    }

    private static double meanMillis(RackFixture replay) {
        return replay.doneAt.entrySet().stream()
                .mapToLong(e -> e.getValue() - arrivedAt(e.getKey()))
                .average()
                .orElseThrow();
    }

    private static long slowestMillis(RackFixture replay) {
        return replay.doneAt.entrySet().stream()
                .mapToLong(e -> e.getValue() - arrivedAt(e.getKey()))
                .max()
                .orElseThrow();
    }

    private static long arrivedAt(String task) {
        int job = Integer.parseInt(task.substring(1, task.indexOf('.')));
        return 1_000 + BURST_MILLIS * (job / BURST);
    }

    /** Guards against runs away from their data although a place there is about to be free. */
    @Test
    void aShortWaitForTheRackMakesTheMeanAndTheSlowestJobFaster() {
        RackFixture without = replay(1, FACTOR);
        RackFixture with = replay(FACTOR, FACTOR);
        assertThat(meanMillis(with)).isLessThan(0.9 * meanMillis(without));
        assertThat(slowestMillis(with)).isLessThanOrEqualTo(slowestMillis(without) + 100);
        assertThat(with.count(SchedulerEvent.Kind.RACK_WAIT_PAID)).isGreaterThan(0);
    }

    /** Returns the mean of jobs that want 1.25 times what two places serve, for a while. */
    private static double meanOfBusyRack(double remoteFactor, long seed) {
        RackFixture replay = new RackFixture(remoteFactor, FACTOR, RUN_MILLIS);
        replay.addWorkers(NEAR, 2, CORE);
        replay.addWorkers(FAR, 16, CORE);
        Random random = new Random(seed);
        long arrivals = 0;
        for (int i = 0; i < BUSY_JOBS; i++) {
            replay.fixture.accept("j" + i, RackFixture.step(1, RUN_MILLIS, NEAR, false));
            arrivals += replay.fixture.now;
            double gap = -Math.log(1 - random.nextDouble()) * BUSY_GAP_MILLIS;
            replay.runUntil(replay.fixture.now + Math.round(gap));
        }
        replay.runUntil(replay.fixture.now + BURST_MILLIS);
        assertThat(replay.doneAt).hasSize(BUSY_JOBS);
        long ends = replay.doneAt.values().stream().mapToLong(Long::longValue).sum();
        return (double) (ends - arrivals) / BUSY_JOBS;
    }

    /** Guards against waits for a rack that is busy anyway, which make all its jobs take longer. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsThatWantABusyRackTakeNoLongerForTheirWaits(long seed) {
        assertThat(meanOfBusyRack(FACTOR, seed)).isLessThan(meanOfBusyRack(1, seed));
    }

    /** A deployment that sets no factor gets the same orders as before. */
    @Test
    void withoutTheSettingNothingWaits() {
        RackFixture replay = new RackFixture(1, 1, RUN_MILLIS);
        replay.addWorkers(NEAR, 1, CORE);
        replay.addWorkers(FAR, 2, CORE);
        replay.fixture.accept("j", RackFixture.step(3, RUN_MILLIS, NEAR, true));
        assertThat(replay.plan())
                .extracting(Order.Start::worker)
                .containsExactly("near0", "far0", "far1");
    }

    private static RackFixture oneBusyPlace(long estimatedMillis) {
        RackFixture rack = new RackFixture(FACTOR, FACTOR, 100_000);
        rack.addWorkers(NEAR, 1, CORE);
        rack.addWorkers(FAR, 2, CORE);
        rack.fixture.accept("busy", RackFixture.step(1, estimatedMillis, NEAR, false));
        rack.plan();
        assertThat(rack.rackOf).containsValue(NEAR);
        rack.fixture.now += estimatedMillis / 2;
        rack.grantLeases();
        return rack;
    }

    /** Guards against an unbounded wait for a place that is expected and does not come. */
    @Test
    void aWaitOnAWrongEstimateEndsBeforeTheJobStandsStill() {
        RackFixture rack = oneBusyPlace(1_000);
        long arrivedAt = rack.fixture.now;
        rack.fixture.accept("waits", RackFixture.step(1, 1_000, NEAR, false));
        rack.runUntil(arrivedAt + 400);
        assertThat(rack.rackOf).hasSize(1);
        rack.runUntil(arrivedAt + 1_600);
        assertThat(rack.rackOf).hasSize(2).containsValue(FAR);
        assertThat(rack.count(SchedulerEvent.Kind.RACK_WAIT_IN_VAIN)).isEqualTo(1);
    }

    /** A place that comes later than a run elsewhere takes more is not worth a wait. */
    @Test
    void aWaitLongerThanTheGainDoesNotBegin() {
        RackFixture rack = oneBusyPlace(10_000);
        rack.fixture.accept("short", RackFixture.step(1, 1_000, NEAR, false));
        assertThat(rack.plan()).hasSize(1);
    }

    /** Guards against a free place elsewhere that is kept for the step that waits. */
    @Test
    void aStepThatWaitsDoesNotBlockTheStepsBehindIt() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.fixture.accept("waits", RackFixture.step(1, 1_000, NEAR, false));
        rack.fixture.accept("behind", RackFixture.step(2, 1_000, "", false));
        assertThat(rack.plan()).extracting(s -> s.task().job()).containsExactly("behind", "behind");
    }

    /** Guards against waits for a place that a task ahead will take. */
    @Test
    void tasksThatWaitAheadCount() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.addWorkers(FAR, 9, CORE);
        rack.fixture.accept("waits", RackFixture.step(8, 1_000, NEAR, false));
        rack.plan();
        assertThat(rack.rackOf).hasSize(8);
    }

    /** Guards against waits for a rack whose workers are lost or drain. */
    @Test
    void theWaitEndsWhenTheWorkersOfTheRackDrainOrAreLost() {
        for (boolean draining : List.of(true, false)) {
            RackFixture rack = oneBusyPlace(1_000);
            rack.fixture.accept("waits", RackFixture.step(1, 1_000, NEAR, false));
            assertThat(rack.plan()).isEmpty();
            if (draining) {
                rack.list("near0", CORE, 0, true);
            } else {
                rack.fixture.scheduler.setReachable("near0", false, rack.fixture.now);
            }
            assertThat(rack.fixture.starts()).hasSize(1);
        }
    }

    /** Guards against waits that add up, one for each new holder. */
    @Test
    void aNewHolderCountsTheWaitOfItsPredecessor() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.fixture.scheduler.accept(
                SchedulerFixture.job("waits", RackFixture.step(1, 1_000, NEAR, false)),
                3_000,
                rack.fixture.now);
        assertThat(rack.plan()).hasSize(1);
    }

    /** Guards against a wait within its bound that is reported as a standstill. */
    @Test
    void aWaitIsExplainedAndIsNoStandstill() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.fixture.accept("waits", RackFixture.step(1, 1_000, NEAR, false));
        rack.addWorkers("spare", 1, 4 * CORE);
        assertThat(rack.plan()).isEmpty();
        StandstillReport report =
                rack.fixture
                        .scheduler
                        .standstills()
                        .check(Optional.empty(), rack.fixture.now, rack.fixture.now);
        assertThat(report.waiting())
                .containsExactly(
                        new WaitingSteps(SchedulerFixture.POOL, WaitReason.WAITS_FOR_RACK, 1));
        assertThat(report.standing()).isEmpty();
    }

    /** A step counted as blocked, and its wait as over, once the pool had no room for others. */
    @Test
    void aWaitGoesOnWhileThePoolIsFull() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.fixture.accept("waits", RackFixture.step(1, 1_000, NEAR, false));
        // This worker is kept free for the step behind, and not the one in the rack.
        rack.addWorkers("spare", 1, CORE + CORE / 2);
        rack.fixture.accept("behind", RackFixture.step(4, 1_000, "", false));
        assertThat(rack.plan()).hasSize(3);
        assertThat(rack.plan()).isEmpty();
        assertThat(rack.count(SchedulerEvent.Kind.RACK_WAIT_IN_VAIN)).isZero();
    }

    /** Guards against waits of jobs without an estimate. */
    @Test
    void withoutEstimatesNothingWaits() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.fixture.accept("unknown", RackFixture.step(1, 0, NEAR, false));
        assertThat(rack.plan()).hasSize(1);
    }

    /** Guards against a task that does not take a free place in its rack. */
    @Test
    void aFreePlaceInTheRackIsUsedAtOnce() {
        RackFixture rack = oneBusyPlace(1_000);
        rack.addWorkers(NEAR, 2, CORE);
        rack.fixture.accept("first", RackFixture.step(1, 1_000, NEAR, false));
        assertThat(rack.plan()).extracting(Order.Start::worker).containsExactly("near1");
    }

    /** Guards against 10,000 waiting tasks that each look at 1,200 workers, which took 100 ms. */
    @Test
    void aRoundForTenThousandWaitingJobsIsShort() {
        RackFixture rack = fullPool();
        acceptJobs(rack, "j", 14_680, RackFixture.step(1, 1_000, NEAR, false));
        assertThat(roundNanos(rack)).isLessThan(MAX_ROUND_NANOS);
    }

    /** Each tightly coupled step compared the racks anew in a pool that had no room at all. */
    @Test
    void aRoundForCoupledStepsInAFullPoolIsShort() {
        RackFixture rack = fullPool();
        acceptJobs(rack, "j", 4_680, RackFixture.step(1, 1_000, NEAR, false));
        acceptJobs(rack, "coupled", 5_000, RackFixture.step(2, 1_000, "", true));
        assertThat(roundNanos(rack)).isLessThan(MAX_ROUND_NANOS);
    }

    /** The room that is kept for a large task let each waiting task look at each worker. */
    @Test
    void aRoundWithAWorkerThatIsKeptFreeIsShort() {
        RackFixture rack = fullPool();
        acceptJobs(rack, "j", 4_678, RackFixture.step(1, 1_000, NEAR, false));
        rack.plan();
        rack.fixture.accept("large", SchedulerFixture.step(1, 4 * CORE, List.of(), false, true, 1));
        rack.plan();
        acceptJobs(rack, "behind", 10_000, RackFixture.step(1, 1_000, NEAR, false));
        assertThat(roundNanos(rack)).isLessThan(MAX_ROUND_NANOS);
    }

    private static RackFixture fullPool() {
        RackFixture rack = new RackFixture(FACTOR, FACTOR, RUN_MILLIS);
        rack.addWorkers(NEAR, 30, 4 * CORE);
        rack.addWorkers(FAR, 1_170, 4 * CORE);
        rack.fixture.accept("busy", RackFixture.step(120, 4_000, NEAR, false));
        rack.plan();
        rack.fixture.now += 3_000;
        return rack;
    }

    private static void acceptJobs(RackFixture rack, String prefix, int count, StepSpec step) {
        for (int i = 0; i < count; i++) {
            rack.fixture.accept(prefix + i, step);
        }
    }

    /** Returns the time that one core takes for a plan; other processes do not count in it. */
    private static long roundNanos(RackFixture rack) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        rack.plan();
        long best = Long.MAX_VALUE;
        for (int i = 0; i < 8; i++) {
            long began = threads.getCurrentThreadCpuTime();
            rack.fixture.scheduler.plan(rack.fixture.now + i, 0);
            best = Math.min(best, threads.getCurrentThreadCpuTime() - began);
        }
        return best;
    }
}
