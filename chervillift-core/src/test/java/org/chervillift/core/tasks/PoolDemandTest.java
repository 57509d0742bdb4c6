package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.junit.jupiter.api.Test;

/** Tests what counts as demand of a pool. */
class PoolDemandTest {

    private static final int TASKS = 100;
    private static final long WORKER_MILLI_CORES = 10_000;
    private static final int FURTHER_WORKERS = 5;

    /** A gang that its customer's limit never allows holds VMs that other pools lack. */
    @Test
    void aGangThatItsCustomersLimitNeverAllowsIsNoDemandOfItsPool() {
        SchedulerFixture limited = new SchedulerFixture(1, new Resources(2_000, 100_000, 0));
        limited.addWorker("w1", 10_000);
        limited.accept("gang", SchedulerFixture.step(4, 1_000, List.of(), true, false, 0));
        assertThat(limited.starts()).isEmpty();
        PoolLoad load = limited.scheduler.poolLoads(limited.now).get(SchedulerFixture.POOL);
        assertThat(load.isShortOfCapacity()).isFalse();
        assertThat(load.demandMilliCores()).isZero();
    }

    /** A large service whose workers crashed twice took all VMs of the other pools for good. */
    @Test
    void aServiceOfManySuspectTasksWantsNoMoreWorkersThanMayBeIsolated() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.addWorker("w0", WORKER_MILLI_CORES);
        fixture.accept("service", SchedulerFixture.step(TASKS, 1, List.of(), false, true, 0));
        for (int crash = 0; crash < CrashHistory.CRASHES_BEFORE_ISOLATION; crash++) {
            assertThat(fixture.starts()).isNotEmpty();
            fixture.runningByWorker.clear();
            fixture.scheduler.workerUnlisted("w" + crash);
            fixture.scheduler.workerLifetimeEnded("w" + crash, fixture.now, fixture.now);
            fixture.addWorker("w" + (crash + 1), WORKER_MILLI_CORES);
        }
        for (int i = 0; i < FURTHER_WORKERS; i++) {
            fixture.addWorker("further" + i, WORKER_MILLI_CORES);
        }
        PoolLoad load = fixture.scheduler.poolLoads(fixture.now).get(SchedulerFixture.POOL);
        long isolated = (1 + FURTHER_WORKERS) / 2;
        assertThat(load.waitingMilliCores())
                .isEqualTo(isolated * WORKER_MILLI_CORES + TASKS - isolated);
    }
}
