package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.SchedulerFixture.step;

import java.util.List;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.junit.jupiter.api.Test;

/** Guards against urgent work that waits for other work of its pool. */
class UrgentWorkTest {

    private static final QueuePolicy URGENT =
            new QueuePolicy("urgent", SchedulerFixture.POOL, 0, 2, 1.6, 600, false);
    private static final QueuePolicy BATCH =
            new QueuePolicy("batch", SchedulerFixture.POOL, 5, 2, 20, 60_000, false);

    private final SchedulerFixture fixture = new SchedulerFixture();

    UrgentWorkTest() {
        fixture.scheduler.configure(
                Manifest.of(
                        2,
                        List.of(
                                new QueueRoute("h.example", "/u/", true, URGENT),
                                new QueueRoute("h.example", "/b/", true, BATCH)),
                        List.of(new PoolPolicy(SchedulerFixture.POOL, true, false)),
                        List.of(),
                        1_000));
    }

    private void accept(QueuePolicy policy, String id, long waitingMillis, StepSpec... steps) {
        JobSpec spec = new JobSpec(id, "p", List.of(steps), Schedule.ONCE);
        fixture.scheduler.accept(new AcceptedJob(spec, policy, "", 0), waitingMillis, fixture.now);
    }

    @Test
    void aLateUrgentJobStartsBeforeABatchJobThatIsOnTime() {
        fixture.addWorker("w1", 1_000);
        accept(BATCH, "batch", 0, step(1, 1_000));
        accept(URGENT, "urgent", 10_000, step(1, 1_000));

        assertThat(fixture.starts()).extracting(s -> s.task().job()).containsExactly("urgent");
    }
}
