package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests reports that do not tell of all runs: a worker lists its ended runs in parts. */
class PartialReportTest {

    private static final int TASKS = 4;
    private static final long CLOCK_MILLIS = 1;
    private static final long JOB_TIMEOUT_MILLIS = 5_000;

    private final SchedulerFixture predecessor = new SchedulerFixture();
    private final SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);

    /** Returns the ends of runs that a worker lists, numbered from 1. */
    private static List<EndedRun> ends(String job, int from, int to) {
        List<EndedRun> ends = new ArrayList<>();
        for (int i = from; i < to; i++) {
            ends.add(new EndedRun(i + 1, new TaskId(job, 0, 0, i), 1, RunEnd.DONE, ""));
        }
        return ends;
    }

    private static void report(SchedulerFixture holder, List<EndedRun> ends, boolean moreEnds) {
        holder.now += 1;
        holder.scheduler.applyReport(
                "w1",
                new RunReport(1, CLOCK_MILLIS, List.of(), ends, moreEnds),
                holder.now,
                holder.now);
        holder.scheduler.leaseGranted("w1", holder.now + SchedulerFixture.LEASE_MILLIS);
    }

    /** Lets a new holder take over a worker on which all tasks of a job have ended. */
    private void succeed() {
        successor.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        successor.scheduler.workerListed(SchedulerFixture.entry("w1", 4_000), successor.now);
        successor.acceptBegun("a", SchedulerFixture.step(TASKS, 1_000));
    }

    @Test
    void aNewHolderDoesNotStartTasksWhoseEndsAreInALaterPartOfTheReport() {
        succeed();
        report(successor, ends("a", 0, 2), true);
        assertThat(successor.starts()).isEmpty();

        report(successor, ends("a", 2, TASKS), false);
        assertThat(successor.starts()).isEmpty();
        successor.store();
        assertThat(successor.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void aNewHolderWaitsForLaterPartsAlsoAfterTheLeasesOfItsPredecessor() {
        succeed();
        report(successor, ends("a", 0, 2), true);
        successor.now += SchedulerFixture.LEASE_MILLIS;
        report(successor, ends("a", 0, 2), true);
        assertThat(successor.starts()).isEmpty();
    }

    @Test
    void aNewHolderStartsTheTasksOfAWorkerWhoseLeaseEndedBeforeItsLaterParts() {
        succeed();
        report(successor, ends("a", 0, 2), true);
        successor.addWorker("w2", 4_000);
        successor.now += SchedulerFixture.LEASE_MILLIS + 1;
        successor.report("w2");
        successor.scheduler.leaseGranted("w2", successor.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(successor.starts()).hasSize(2);
    }

    @Test
    void aNewHolderDoesNotStartTasksWhoseEndsFollowOneOfAnUnknownJob() {
        succeed();
        List<EndedRun> ends = new ArrayList<>();
        ends.add(new EndedRun(1, new TaskId("unread", 0, 0, 0), 1, RunEnd.DONE, ""));
        ends("a", 1, TASKS).forEach(ends::add);
        ends.add(new EndedRun(TASKS + 1, new TaskId("a", 0, 0, 0), 1, RunEnd.DONE, ""));
        report(successor, ends, false);
        assertThat(successor.starts()).isEmpty();

        successor.now += JOB_TIMEOUT_MILLIS;
        report(successor, ends, false);
        assertThat(successor.starts()).isEmpty();
        successor.store();
        assertThat(successor.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void aRunWhoseEndIsInALaterPartOfTheReportStaysOpen() {
        predecessor.addWorker("w1", 4_000);
        predecessor.accept("a", SchedulerFixture.step(TASKS, 1_000));
        assertThat(predecessor.starts()).hasSize(TASKS);

        report(predecessor, ends("a", 0, 2), true);
        assertThat(predecessor.starts()).isEmpty();

        report(predecessor, ends("a", 2, TASKS), false);
        predecessor.store();
        assertThat(predecessor.scheduler.stateOf("a")).contains(JobState.COMPLETED);
    }

    @Test
    void aStoppedRunTakesUpCapacityUntilThePartWithItsEndIsReported() {
        predecessor.addWorker("w1", 4_000);
        predecessor.accept("a", SchedulerFixture.step(TASKS, 1_000));
        predecessor.starts();
        predecessor.scheduler.cancel("a", predecessor.now);
        predecessor.plan();
        predecessor.accept("b", SchedulerFixture.step(TASKS, 1_000));

        EndedRun first = new EndedRun(1, new TaskId("a", 0, 0, 0), 1, RunEnd.STOPPED, "");
        report(predecessor, List.of(first), true);
        assertThat(predecessor.starts()).hasSize(1);
    }
}
