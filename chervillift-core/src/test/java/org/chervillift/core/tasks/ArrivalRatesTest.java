package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.POOL;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Simulates the start of a surge of jobs with two steps each. */
class ArrivalRatesTest {

    private static final long ARRIVAL_INTERVAL_MILLIS = 100;
    private static final int JOBS = 7;
    private static final int TASKS_PER_STEP = 4;
    private static final long ONE_CORE_MILLI_CORES = 1_000;
    private static final long RUN_TIME_MILLIS = 1_000;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void surge() {
        fixture.addWorker("w1", JOBS * TASKS_PER_STEP * ONE_CORE_MILLI_CORES);
        for (int i = 0; i < JOBS; i++) {
            fixture.accept(
                    "job" + i,
                    step(TASKS_PER_STEP, ONE_CORE_MILLI_CORES),
                    step(TASKS_PER_STEP, ONE_CORE_MILLI_CORES, List.of(0), false, false, 0));
            fixture.plan();
            fixture.now += ARRIVAL_INTERVAL_MILLIS;
        }
    }

    private PoolLoad load() {
        return fixture.scheduler.poolLoads(fixture.now).get(POOL);
    }

    @Test
    void workOfLaterStepsCountsBeforeTheirTasksCanStart() {
        surge();
        PoolLoad load = load();
        assertThat(load.demandMilliCores()).isEqualTo(JOBS * TASKS_PER_STEP * ONE_CORE_MILLI_CORES);
        assertThat(load.arrivingMilliCores()).isGreaterThan(load.demandMilliCores() * 5 / 4);
    }

    @Test
    void theRateDecaysSoonAfterTheLastJobOfASurge() {
        surge();
        long before = load().arrivingMilliCores();
        fixture.now += 3_000;
        assertThat(load().arrivingMilliCores()).isLessThan(before / 10);
    }

    /** A VM that is ordered late in a surge serves only the rest of it. */
    @Test
    void theFullRateOfASurgeIsKnownAfterAQuarterOfASecond() {
        long intervalMillis = 25;
        for (int i = 0; i < 10; i++) {
            fixture.accept("job" + i, step(TASKS_PER_STEP, ONE_CORE_MILLI_CORES));
            fixture.now += intervalMillis;
        }
        long workPerJob = TASKS_PER_STEP * ONE_CORE_MILLI_CORES * RUN_TIME_MILLIS;
        assertThat(load().arrivingMilliCores())
                .isBetween(workPerJob / intervalMillis * 8 / 10, workPerJob / intervalMillis);
    }

    @Test
    void longRunningTasksDoNotCountAsArrivingWork() {
        fixture.accept(
                "lasting", step(TASKS_PER_STEP, ONE_CORE_MILLI_CORES, List.of(), false, true, 0));
        assertThat(load().arrivingMilliCores()).isZero();
    }
}
