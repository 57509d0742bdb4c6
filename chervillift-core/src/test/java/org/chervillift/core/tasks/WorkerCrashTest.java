package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.JobState;
import org.junit.jupiter.api.Test;

/** Tests what becomes of tasks whose workers crash. */
class WorkerCrashTest {

    private static final int WORKERS = 12;

    /** Three crashes, and fewer than three starts after the third. */
    private static final int MAX_STARTS = 5;

    private static final long WORKER_MILLI_CORES = 4_000;
    private static final long CRASH_NOTICED_MILLIS = 400;

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void aTaskThatCrashesEachWorkerThatStartsItIsNotStartedWithoutLimit() {
        addWorkers(fixture);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));

        int starts = 0;
        for (int round = 0; round < WORKERS; round++) {
            for (Order.Start start : fixture.starts()) {
                starts++;
                crash(fixture, start.worker());
            }
            fixture.now += CRASH_NOTICED_MILLIS;
        }

        assertThat(starts).isLessThanOrEqualTo(MAX_STARTS);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("a")).contains(JobState.FAILED);
    }

    private static void addWorkers(SchedulerFixture fixture) {
        for (int i = 0; i < WORKERS; i++) {
            fixture.addWorker("w" + i, WORKER_MILLI_CORES);
        }
    }

    /** Ends a worker's lifetime without notice; it does not come back under its identifier. */
    private static void crash(SchedulerFixture fixture, String worker) {
        fixture.runningByWorker.put(worker, List.of());
        fixture.scheduler.workerUnlisted(worker);
        fixture.scheduler.workerLifetimeEnded(worker, fixture.now);
    }
}
