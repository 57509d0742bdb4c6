package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;
import static org.chervillift.core.tasks.SchedulerFixture.stepWithMaxPerWorker;

import org.junit.jupiter.api.Test;

/** Guards against tasks that are passed over since others of their size found no worker. */
class UnplaceableSizesTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void aTaskThatOnlyItsStepKeepsOffAWorkerDoesNotHoldOthersOfItsSize() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("limited", stepWithMaxPerWorker(5, 1));
        fixture.accept("other", step(10, 1_000));

        assertThat(fixture.starts())
                .extracting(s -> s.task().job())
                .containsExactly("limited", "other", "other", "other");
    }

    @Test
    void aSmallTaskStartsAfterALargeOneFoundNoWorker() {
        fixture.addWorker("w1", 1_000);
        fixture.addWorker("w2", 1_000);
        fixture.accept("large", step(1, 4_000));
        fixture.accept("small", step(2, 1_000));

        assertThat(fixture.starts()).extracting(s -> s.task().job()).contains("small");
    }
}
