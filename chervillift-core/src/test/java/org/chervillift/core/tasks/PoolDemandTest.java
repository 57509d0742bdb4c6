package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.junit.jupiter.api.Test;

/** Tests what counts as demand of a pool. */
class PoolDemandTest {

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
}
