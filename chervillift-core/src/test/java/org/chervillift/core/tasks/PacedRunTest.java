package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that a run that may not work does not count as one without progress. */
class PacedRunTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    /** A run that fills and was paced to nothing is not a run without progress afterwards. */
    @Test
    void aRunThatWasPacedToNothingIsNotStoppedForWantOfProgressOnceItMayGoOn() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("s", serving());
        fixture.accept("x", filling());
        assertThat(fixture.starts()).hasSize(2);
        for (int i = 0; i < 8; i++) {
            reportTail(300, Math.min(5, i));
        }
        for (int i = 0; i < 8; i++) {
            reportTail(20, Math.max(5, 2 * i));
            fixture.plan();
        }
        assertThat(fixture.events).noneMatch(e -> e.kind() == SchedulerEvent.Kind.STANDSTILL);
    }

    private void reportTail(double tailMillis, int percent) {
        fixture.now += 600;
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        List<RunningTask> running = new ArrayList<>();
        running.add(new RunningTask(new TaskId("s", 0, 0, 0), 1, "", 100, tailMillis));
        running.add(new RunningTask(new TaskId("x", 0, 0, 0), 1, "", percent, 500));
        fixture.runningByWorker.put("w1", running);
        fixture.report("w1");
        fixture.plan();
    }

    private static StepSpec serving() {
        return SchedulerFixture.imageStep(0, true, 100, false);
    }

    private static StepSpec filling() {
        return SchedulerFixture.imageStep(1_000, false, 0, true);
    }
}
