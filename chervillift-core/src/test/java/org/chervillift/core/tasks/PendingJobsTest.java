package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.QUEUE;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.List;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunEnd;
import org.junit.jupiter.api.Test;

class PendingJobsTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    private int pending() {
        return fixture.scheduler.pendingByQueue().getOrDefault(QUEUE, 0);
    }

    @Test
    void aJobWhoseFirstOrderIsNotAnsweredIsPending() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", step(1, 1_000));

        List<Order> orders = fixture.orders();
        assertThat(orders).hasSize(1);
        assertThat(pending()).isEqualTo(1);

        fixture.scheduler.applyAnswer(orders.get(0), OrderAnswer.UNKNOWN, fixture.now);
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aJobWhoseFirstOrderWasRefusedIsPending() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", step(1, 1_000));
        fixture.orders()
                .forEach(o -> fixture.scheduler.applyAnswer(o, OrderAnswer.NO_ROOM, fixture.now));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aJobThatAnEarlierHolderMayHaveStartedIsPendingUntilARunIsReported() {
        fixture.acceptBegun("a", step(1, 1_000));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aJobWithAReportedRunIsNotPending() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", step(1, 1_000));
        fixture.plan();
        assertThat(pending()).isZero();

        fixture.endAll("w1", RunEnd.STOPPED);
        assertThat(pending()).isZero();
    }

    @Test
    void aJobWithATaskStoredAsDoneIsNotPending() {
        fixture.accept("a", step(2, 1_000));
        JobProgress.StepProgress half =
                new JobProgress.StepProgress(0, 0, List.of(1), List.of(), List.of(), List.of());
        fixture.scheduler.restore("a", new JobProgress(1, JobState.RUNNING, List.of(half)));
        assertThat(pending()).isZero();
    }
}
