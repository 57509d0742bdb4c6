package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which worker is kept free for a step that fits on none now. */
class ReservedWorkerTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    private List<String> startedJobs() {
        return fixture.starts().stream().map(s -> s.task().job()).toList();
    }

    /** The only worker was kept free for good, and no other job started. */
    @Test
    void aStepThatNeverFitsBesideLongRunningTasksKeepsNoWorkerFree() {
        fixture.addWorker("w1", 64_000);
        fixture.accept("lasting", SchedulerFixture.step(1, 20_000, List.of(), false, true, 0));
        assertThat(startedJobs()).containsExactly("lasting");

        fixture.accept("large", SchedulerFixture.step(1, 50_000, List.of(), false, true, 0));
        fixture.accept("small", SchedulerFixture.step(1, 1_000));
        assertThat(startedJobs()).containsExactly("small");
    }

    @Test
    void aStepThatFitsOnceOthersHaveEndedKeepsAWorkerFree() {
        fixture.addWorker("w1", 64_000);
        fixture.accept("first", SchedulerFixture.step(1, 20_000));
        assertThat(startedJobs()).containsExactly("first");

        fixture.accept("large", SchedulerFixture.step(1, 50_000, List.of(), false, true, 0));
        fixture.accept("small", SchedulerFixture.step(1, 1_000));
        assertThat(startedJobs()).isEmpty();
    }

    /** A gang of which the only worker takes some tasks kept it free for good. */
    @Test
    void aGangThatNeverFitsAsAWholeKeepsNoWorkerFree() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("gang", SchedulerFixture.step(4, 4_000, List.of(), true, true, 0));
        fixture.accept("small", SchedulerFixture.step(1, 1_000));
        assertThat(startedJobs()).containsExactly("small");
    }
}
