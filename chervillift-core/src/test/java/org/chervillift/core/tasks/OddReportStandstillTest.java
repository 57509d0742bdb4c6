package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests that odd entries in reports keep no other task waiting, and start none again. */
class OddReportStandstillTest {

    private final SchedulerFixture fixture = new SchedulerFixture();

    /** An odd end of a run with a high number hides all later ends of its worker. */
    @Test
    void anEndWithAnOddNumberDoesNotHideTheEndsOfOtherRuns() {
        fixture.addWorker("w1", 10_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.starts()).hasSize(2);
        TaskId a = new TaskId("a", 0, 0, 0);
        TaskId b = new TaskId("b", 0, 0, 0);
        fixture.endedByWorker.put(
                "w1", new ArrayList<>(List.of(new EndedRun(900_000, a, 1, RunEnd.STOPPED, ""))));
        fixture.runningByWorker.get("w1").removeIf(r -> r.task().equals(a));
        fixture.now += 10;
        fixture.report("w1");
        fixture.lastEndNumber.put("w1", 0L);
        fixture.end("w1", b, RunEnd.DONE);
        fixture.now += 10;
        fixture.report("w1");
        fixture.store();
        assertThat(startedJobs()).doesNotContain("b");
    }

    /** A worker lists a task under a number that nobody gave, and the start was not answered. */
    @Test
    void anOddNumberInReportsDoesNotKeepATaskWhoseStartWasNotAnsweredFromStarting() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        Order.Start start = (Order.Start) fixture.orders().getFirst();
        fixture.scheduler.applyAnswer(start, OrderAnswer.UNKNOWN, fixture.now);
        fixture.addWorker("w2", 4_000);
        int starts = 0;
        for (int i = 0; i < 100; i++) {
            fixture.now += 200;
            fixture.runningByWorker.put(
                    "w1",
                    new ArrayList<>(
                            List.of(new RunningTask(start.task(), Integer.MAX_VALUE, "", 0, 0))));
            fixture.report("w1");
            fixture.report("w2");
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
            fixture.scheduler.leaseGranted("w2", fixture.now + SchedulerFixture.LEASE_MILLIS);
            starts += fixture.starts().size();
        }
        assertThat(starts).isPositive();
    }

    /** Many odd ends fill each report, so that no report ever counts as complete. */
    @Test
    void oddEndsThatFillEachReportDoNotKeepAStepOfAPredecessorFromGoingOn() {
        fixture.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        fixture.scheduler.workerListed(SchedulerFixture.entry("w1", 4_000), fixture.now);
        fixture.acceptBegun("a", SchedulerFixture.step(1, 1_000));
        List<EndedRun> odd =
                Collections.nCopies(
                        500, new EndedRun(0, new TaskId("a", 0, 0, 0), 0, RunEnd.DONE, ""));
        int starts = 0;
        for (int i = 0; i < 100; i++) {
            fixture.now += 200;
            fixture.scheduler.applyReport(
                    "w1",
                    new RunReport(1, fixture.now, List.of(), odd, true),
                    fixture.now,
                    fixture.now);
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
            starts += fixture.starts().size();
        }
        assertThat(starts).isPositive();
    }

    private List<String> startedJobs() {
        return fixture.starts().stream().map(s -> s.task().job()).toList();
    }
}
