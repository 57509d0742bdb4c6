package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that a report starts no occurrence that is not due. */
class OccurrenceNotDueTest {
    @Test
    void occurrenceNamedByAReportIsNotStartedBeforeItIsDue() {
        SchedulerFixture fixture = new SchedulerFixture();
        fixture.addWorker("w1", 4_000);
        JobSpec spec =
                new JobSpec(
                        "a",
                        "payload",
                        List.of(SchedulerFixture.step(1, 1_000)),
                        new Schedule(5, 1, 3_600_000));
        fixture.scheduler.accept(
                new AcceptedJob(spec, SchedulerFixture.QUEUE_POLICY, SchedulerFixture.CUSTOMER, 0),
                0,
                fixture.now);
        fixture.now += 1;
        fixture.scheduler.applyReport(
                "w1",
                new RunReport(
                        1,
                        fixture.now,
                        List.of(),
                        List.of(new EndedRun(1, new TaskId("a", 3, 0, 0), 1, RunEnd.STOPPED, "")),
                        false),
                fixture.now,
                fixture.now);
        List<String> started =
                fixture.orders(2).stream()
                        .filter(Order.Start.class::isInstance)
                        .map(o -> ((Order.Start) o).task().toString())
                        .toList();
        assertThat(started).containsExactly("a.0.0.0");
    }
}
