package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerDrainerTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void drainingWorkersStopsNoMoreTasksOfAServiceThanAllowed() {
        fixture.addWorker("w1", 1_000);
        fixture.addWorker("w2", 1_000);
        fixture.accept("a", step(2, 1_000, List.of(), false, true, 1));
        fixture.starts();
        fixture.report("w1");
        fixture.report("w2");
        fixture.addWorker("w3", 2_000);

        fixture.scheduler.drain("w1", false, fixture.now);
        fixture.scheduler.drain("w2", false, fixture.now);

        assertThat(fixture.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
    }

    private void startLongRunningTaskOnItsOnlyWorker() {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", step(1, 1_000, List.of(), false, true, 1));
        fixture.starts();
        fixture.report("w1");
    }

    /** Without another worker the task would be down for as long as moving a VM takes. */
    @Test
    void aDrainedWorkerKeepsItsLongRunningTaskUntilAnotherWorkerCanTakeIt() {
        startLongRunningTaskOnItsOnlyWorker();

        fixture.scheduler.drain("w1", false, fixture.now);
        assertThat(fixture.plan()).isEmpty();

        fixture.addWorker("w2", 1_000);
        fixture.scheduler.drain("w1", false, fixture.now);
        assertThat(fixture.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
    }

    @Test
    void anUrgentDrainStopsALongRunningTaskThatNoOtherWorkerCanTake() {
        startLongRunningTaskOnItsOnlyWorker();

        fixture.scheduler.drain("w1", true, fixture.now);
        assertThat(fixture.plan()).hasSize(1).hasOnlyElementsOfType(Order.Stop.class);
    }
}
