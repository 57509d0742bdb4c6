package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.RunEnd;
import org.junit.jupiter.api.Test;

/** Tests when a worker on which runs fail gets no tasks for a time. */
class WorkerBackOffTest {

    private static final long FAR_APART_MILLIS = 40_000;
    private static final long CLOSE_MILLIS = 300;
    private static final long SHORTEST_BACK_OFF_MILLIS = 2_000;

    private final SchedulerFixture fixture = new SchedulerFixture();

    /** Fails the runs of a long-running task; returns how often it was started. */
    private int startsWithFailures(int failures, long apartMillis) {
        fixture.addWorker("w1", 1_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000, List.of(), false, true, 0));
        int starts = 0;
        for (int i = 0; i < failures; i++) {
            starts += fixture.starts().size();
            fixture.endAll("w1", RunEnd.FAILED);
            fixture.now += apartMillis;
            fixture.report("w1");
            fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
        }
        return starts;
    }

    /** Failures counted over any time, so that each further one kept tasks off for up to 16 s. */
    @Test
    void failuresFarApartDoNotKeepTasksOffAWorker() {
        startsWithFailures(5, FAR_APART_MILLIS);
        fixture.starts();
        fixture.endAll("w1", RunEnd.FAILED);
        fixture.now += CLOSE_MILLIS;
        fixture.report("w1");
        assertThat(fixture.starts()).hasSize(1);
    }

    @Test
    void severalFailuresInARowKeepTasksOffAWorker() {
        assertThat(startsWithFailures(5, CLOSE_MILLIS)).isEqualTo(3);
    }

    /** Each failed run doubled the time, so one burst of a wide job kept a worker idle for 16 s. */
    @Test
    void runsOfOneBurstKeepTasksOffAWorkerForTheShortestTime() {
        fixture.addWorker("w1", 12_000);
        fixture.accept("a", SchedulerFixture.step(12, 1_000));
        fixture.starts();
        fixture.endAll("w1", RunEnd.FAILED);
        fixture.now += SHORTEST_BACK_OFF_MILLIS;
        assertThat(fixture.starts()).isNotEmpty();
    }

    /** A job whose runs fail on each worker kept all workers of its pool from all jobs. */
    @Test
    void aWideJobThatFailsOnAllWorkersDoesNotKeepOtherJobsOffThem() {
        failAllRunsOfWideJob();
        fixture.now += CLOSE_MILLIS;
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.starts()).extracting(s -> s.task().job()).contains("b");
    }

    private void failAllRunsOfWideJob() {
        List<String> workers = List.of("w1", "w2", "w3", "w4");
        workers.forEach(w -> fixture.addWorker(w, 10_000));
        fixture.accept("a", SchedulerFixture.step(40, 1_000));
        assertThat(fixture.starts()).hasSize(40);
        workers.forEach(w -> fixture.endAll(w, RunEnd.FAILED));
    }
}
