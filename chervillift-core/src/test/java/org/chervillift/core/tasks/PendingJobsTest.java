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

    private final SchedulerFixture f = new SchedulerFixture();

    private int pending() {
        return f.scheduler.pendingByQueue().getOrDefault(QUEUE, 0);
    }

    @Test
    void aJobWhoseFirstOrderIsNotAnsweredStillCountsAsPending() {
        f.addWorker("w1", 10_000);
        f.accept("a", step(1, 1_000));

        List<Order> orders = f.orders();
        assertThat(orders).hasSize(1);
        assertThat(pending()).isEqualTo(1);

        f.scheduler.applyAnswer(orders.get(0), OrderAnswer.UNKNOWN, f.now);
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aJobWhoseFirstOrderWasRefusedStillCountsAsPending() {
        f.addWorker("w1", 10_000);
        f.accept("a", step(1, 1_000));
        f.orders().forEach(o -> f.scheduler.applyAnswer(o, OrderAnswer.NO_ROOM, f.now));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aJobThatAnEarlierHolderOnlyMeantToStartCountsAsPending() {
        f.acceptBegun("a", step(1, 1_000));
        assertThat(pending()).isEqualTo(1);
    }

    @Test
    void aJobThatAWorkerRunsOrRanIsNotPending() {
        f.addWorker("w1", 10_000);
        f.accept("a", step(1, 1_000));
        f.plan();
        assertThat(pending()).isZero();

        f.endAll("w1", RunEnd.STOPPED);
        assertThat(pending()).isZero();
    }

    @Test
    void aJobOfWhichATaskIsStoredAsDoneIsNotPending() {
        f.accept("a", step(2, 1_000));
        JobProgress.StepProgress half = new JobProgress.StepProgress(0, 0, List.of(1), List.of());
        f.scheduler.restore("a", new JobProgress(1, JobState.RUNNING, List.of(half)));
        assertThat(pending()).isZero();
    }
}
