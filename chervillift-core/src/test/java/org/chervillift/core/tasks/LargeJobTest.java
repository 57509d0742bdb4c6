package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.junit.jupiter.api.Test;

/**
 * Tests jobs whose size callers choose freely: a job of very many tasks ended each holder for want
 * of memory.
 */
class LargeJobTest {

    private static final int LARGEST = Integer.MAX_VALUE;
    private static final int LARGE = 250_000;
    private static final long MANY_MILLI_CORES = 10_000_000;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private static AcceptedJob repeating(String id, int occurrences, long intervalMillis) {
        JobSpec spec =
                new JobSpec(
                        id,
                        "payload",
                        List.of(SchedulerFixture.step(1, 1_000)),
                        new Schedule(occurrences, 1, intervalMillis));
        return new AcceptedJob(spec, SchedulerFixture.QUEUE_POLICY, SchedulerFixture.CUSTOMER, 0);
    }

    @Test
    void aJobOfVeryManyTasksTakesMemoryOnlyForThoseThatRun() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("large", SchedulerFixture.step(LARGEST, 1_000));
        fixture.accept("small", SchedulerFixture.step(1, 1_000));

        for (int round = 0; round < 3; round++) {
            assertThat(fixture.starts()).hasSize(4);
            fixture.endAll("w1", RunEnd.DONE);
            fixture.store();
        }
        assertThat(fixture.scheduler.stateOf("small")).contains(JobState.COMPLETED);
        assertThat(fixture.scheduler.stateOf("large")).contains(JobState.RUNNING);
    }

    @Test
    void aCancelledJobOfVeryManyTasksStops() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("large", SchedulerFixture.step(LARGEST, 1_000));
        fixture.starts();
        fixture.scheduler.cancel("large", fixture.now);
        assertThat(fixture.plan()).hasSize(4).hasOnlyElementsOfType(Order.Stop.class);
    }

    private void addLargeWorker() {
        fixture.scheduler.workerListed(
                new WorkerEntry(
                        "w1",
                        1,
                        "vm-w1",
                        SchedulerFixture.POOL,
                        "127.0.0.1:1",
                        "dc",
                        false,
                        0,
                        new Resources(MANY_MILLI_CORES, MANY_MILLI_CORES, 0),
                        List.of("a", "rack-1")),
                fixture.now);
        fixture.report("w1");
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
    }

    @Test
    void onlyALimitedNumberOfTasksOfAJobRunsAtOnce() {
        addLargeWorker();
        fixture.accept("large", SchedulerFixture.step(LARGE, 1));
        fixture.accept("small", SchedulerFixture.step(1, 1_000));

        assertThat(fixture.starts()).hasSize(JobSizeLimits.MAX_BEGUN_TASKS + 1);
        assertThat(fixture.starts()).isEmpty();
        fixture.endAll("w1", RunEnd.DONE);
        assertThat(fixture.starts()).hasSize(JobSizeLimits.MAX_BEGUN_TASKS);
    }

    /** Of a service of more than a thousand tasks, all beyond these were never started. */
    @Test
    void allTasksOfALargeServiceRunAtOnce() {
        addLargeWorker();
        int tasks = JobSizeLimits.MAX_BEGUN_TASKS + 100;
        fixture.accept("service", SchedulerFixture.step(tasks, 1, List.of(), false, true, 0));
        fixture.accept("large", SchedulerFixture.step(LARGE, 1));
        assertThat(fixture.starts()).hasSize(tasks + JobSizeLimits.MAX_BEGUN_TASKS);
    }

    @Test
    void theDoneTasksOfALargeStepAreStoredAndRestoredAsRanges() {
        JobProgress.StepProgress step =
                new JobProgress.StepProgress(
                        0,
                        0,
                        List.of(),
                        List.of(),
                        List.of(SchedulerFixture.POOL),
                        List.of(new IndexRange(0, LARGE - 3)));
        fixture.accept("large", SchedulerFixture.step(LARGE, 1_000));
        fixture.scheduler.restore("large", new JobProgress(1, JobState.RUNNING, List.of(step)));
        fixture.now += SchedulerFixture.LEASE_MILLIS + 1;
        fixture.addWorker("w1", 1_000);

        assertThat(fixture.starts()).extracting(s -> s.task().index()).containsExactly(LARGE - 2);
        fixture.endAll("w1", RunEnd.DONE);
        fixture.store();
        assertThat(fixture.lastStored.get("large").steps().getFirst().doneRanges())
                .containsExactly(new IndexRange(0, LARGE - 2));
        fixture.starts();
        fixture.endAll("w1", RunEnd.DONE);
        fixture.store();
        assertThat(fixture.scheduler.stateOf("large")).contains(JobState.COMPLETED);
    }

    @Test
    void aJobWithVeryManyDueOccurrencesTakesMemoryOnlyForFew() {
        fixture.addWorker("w1", 2_000);
        fixture.scheduler.accept(repeating("large", LARGEST, 0), 0, fixture.now);
        for (int round = 0; round < 50; round++) {
            assertThat(fixture.starts()).hasSize(2);
            fixture.endAll("w1", RunEnd.DONE);
            fixture.store();
        }
    }

    /** Occurrences that had begun and could not go on took memory without a bound. */
    @Test
    void onlyALimitedNumberOfOccurrencesIsOpen() {
        fixture.addWorker("w1", 2_000);
        JobSpec spec =
                new JobSpec(
                        "large",
                        "payload",
                        List.of(
                                SchedulerFixture.step(1, 1_000),
                                SchedulerFixture.step(1, 5_000, List.of(0), false, false, 0)),
                        new Schedule(LARGEST, 1, 0));
        fixture.scheduler.accept(
                new AcceptedJob(spec, SchedulerFixture.QUEUE_POLICY, SchedulerFixture.CUSTOMER, 0),
                0,
                fixture.now);
        int starts = 0;
        for (int round = 0; round < 1_000; round++) {
            starts += fixture.starts().size();
            fixture.endAll("w1", RunEnd.DONE);
            fixture.store();
        }
        assertThat(starts).isEqualTo(JobSizeLimits.maxOpenOccurrences(spec));
    }

    @Test
    void anOccurrenceThatIsDueBeyondTheEndOfTimeDoesNotStart() {
        fixture.addWorker("w1", 4_000);
        fixture.scheduler.accept(repeating("a", 3, Long.MAX_VALUE / 2), 0, fixture.now);
        assertThat(fixture.starts()).hasSize(1);
    }

    @Test
    void aGangThatIsTooLargeFailsWithAReason() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(LARGEST, 1, List.of(), true, false, 0));
        assertThat(fixture.starts()).isEmpty();
        fixture.store();
        assertThat(fixture.scheduler.statusOf("a"))
                .contains(
                        new JobStatus(
                                JobState.FAILED,
                                Optional.of(
                                        new JobFailure(
                                                JobFailure.Cause.GANG_TOO_LARGE,
                                                "a.0.0.0",
                                                JobSizeLimits.MAX_BEGUN_TASKS))));
    }

    /** The sum of what a customer asks for was negative, which ended each planning. */
    @Test
    void aTaskThatAsksForMoreThanASumCanHoldDoesNotStopPlanning() {
        SchedulerFixture limited = new SchedulerFixture(1, new Resources(64_000, 0, 0));
        limited.addWorker("w1", 4_000);
        limited.accept("small", SchedulerFixture.step(1, 1_000));
        assertThat(limited.starts()).hasSize(1);

        limited.accept("huge", SchedulerFixture.step(LARGEST, Long.MAX_VALUE));
        limited.accept("gang", gang(JobSizeLimits.MAX_BEGUN_TASKS, Long.MAX_VALUE / 2));
        limited.accept("next", SchedulerFixture.step(1, 1_000));
        assertThat(limited.starts()).extracting(s -> s.task().job()).containsExactly("next");
        assertThat(limited.scheduler.poolLoads(limited.now).get(SchedulerFixture.POOL))
                .satisfies(l -> assertThat(l.waitingMilliCores()).isPositive());
    }

    private static StepSpec gang(int count, long milliCores) {
        return SchedulerFixture.step(count, milliCores, List.of(), true, false, 0);
    }
}
