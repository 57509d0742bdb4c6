package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.junit.jupiter.api.Test;

/** Tests that jobs whose runs fail or stand still do not keep all workers of a pool from others. */
class FaultyWorkerLimitTest {

    private static final List<String> WORKERS = List.of("w1", "w2", "w3", "w4");
    private static final long CLOSE_MILLIS = 100;
    private static final long STALL_MILLIS = 1_100;

    private final SchedulerFixture fixture = new SchedulerFixture();

    private void addWorkers(long milliCores) {
        WORKERS.forEach(w -> fixture.addWorker(w, milliCores));
    }

    private void assertAnotherJobStarts() {
        fixture.now += CLOSE_MILLIS;
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.starts()).extracting(s -> s.task().job()).contains("b");
    }

    private void failRuns(String worker, String job) {
        List.copyOf(fixture.runningByWorker.get(worker)).stream()
                .filter(r -> r.task().job().equals(job))
                .forEach(r -> fixture.end(worker, r.task(), RunEnd.FAILED));
        fixture.now += 1;
        fixture.report(worker);
    }

    /** Each of several hopeless jobs made another worker of the pool look faulty first. */
    @Test
    void severalHopelessJobsDoNotKeepOtherJobsOffAllWorkers() {
        addWorkers(16_000);
        for (String worker : WORKERS) {
            fixture.accept("hopeless-" + worker, SchedulerFixture.step(16, 1_000));
        }
        assertThat(fixture.starts()).hasSize(64);
        WORKERS.forEach(w -> failRuns(w, "hopeless-" + w));
        assertAnotherJobStarts();
    }

    /** Each run that ended well let the next worker on which a run failed look faulty. */
    @Test
    void aJobThatFailsInOneStepOnlyDoesNotKeepOtherJobsOffAllWorkers() {
        addWorkers(8_000);
        fixture.accept(
                "a",
                SchedulerFixture.stepWithMaxPerWorker(16, 4),
                SchedulerFixture.stepWithMaxPerWorker(16, 4));
        assertThat(fixture.starts()).hasSize(32);
        WORKERS.forEach(this::endOneStepWellAndFailTheOther);
        assertAnotherJobStarts();
    }

    private void endOneStepWellAndFailTheOther(String worker) {
        List<RunningTask> running = List.copyOf(fixture.runningByWorker.get(worker));
        running.stream()
                .filter(r -> r.task().step() == 1)
                .forEach(r -> fixture.end(worker, r.task(), RunEnd.DONE));
        running.stream()
                .filter(r -> r.task().step() == 0)
                .forEach(r -> fixture.end(worker, r.task(), RunEnd.FAILED));
        fixture.now += 1;
        fixture.report(worker);
    }

    /** A job whose estimate is far too low seemed to stand still, on each worker alike. */
    @Test
    void aJobThatRunsLongerThanEstimatedDoesNotKeepOtherJobsOffAllWorkers() {
        addWorkers(10_000);
        fixture.accept("slow", SchedulerFixture.stepWithMaxPerWorker(16, 4));
        assertThat(fixture.starts()).hasSize(16);
        WORKERS.forEach(this::reportNoProgress);
        fixture.now += STALL_MILLIS;
        WORKERS.forEach(this::reportNoProgress);
        fixture.plan();
        assertAnotherJobStarts();
    }

    private void reportNoProgress(String worker) {
        List<RunningTask> running =
                fixture.runningByWorker.get(worker).stream()
                        .map(r -> new RunningTask(r.task(), r.run(), "", 0, 0))
                        .toList();
        fixture.scheduler.applyReport(
                worker,
                new RunReport(1, fixture.now, running, List.of(), false),
                fixture.now,
                fixture.now);
        fixture.scheduler.leaseGranted(worker, fixture.now + SchedulerFixture.LEASE_MILLIS);
    }
}
