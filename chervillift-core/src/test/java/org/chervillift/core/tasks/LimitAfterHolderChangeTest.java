package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests a customer's limit while a new holder cannot reach a worker that may run its tasks. */
class LimitAfterHolderChangeTest {

    private static final int LIMIT_CORES = 4;

    private final SchedulerFixture successor =
            new SchedulerFixture(2, new Resources(LIMIT_CORES * 1_000, 0, 0));

    LimitAfterHolderChangeTest() {
        successor.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        successor.scheduler.addPredecessorWorker("cut", SchedulerFixture.POOL);
        successor.acceptBegun("old", SchedulerFixture.step(LIMIT_CORES, 1_000));
        successor.accept("new", SchedulerFixture.step(LIMIT_CORES, 1_000));
        successor.addWorker("w1", 16_000);
    }

    /** The tasks on the unreachable worker did not count, so that twice the limit ran. */
    @Test
    void tasksThatMayRunOnAnUnreachableWorkerCountTowardsTheLimit() {
        assertThat(successor.starts()).isEmpty();

        successor.now += SchedulerFixture.LEASE_MILLIS + 1;
        successor.report("w1");
        successor.scheduler.leaseGranted("w1", successor.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(successor.starts()).hasSize(LIMIT_CORES);
    }

    @Test
    void theRestOfTheLimitIsFreeOnceTheWorkerHasReported() {
        List<RunningTask> running = new ArrayList<>();
        running.add(new RunningTask(new TaskId("old", 0, 0, 0), 1, "", 50, 0));
        successor.runningByWorker.put("cut", running);
        successor.addWorker("cut", 16_000);
        assertThat(successor.starts()).hasSize(LIMIT_CORES - 1);
    }
}
