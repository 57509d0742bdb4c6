package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.chervillift.core.tasks.RackFixture.CORE;
import static org.chervillift.core.tasks.RackFixture.NEAR;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.junit.jupiter.api.Test;

/** Tests second runs of tasks whose first run takes very long. */
class CopyTest {

    private static final long RUN_MILLIS = 400;
    private static final TaskId TASK = new TaskId("slow", 0, 0, 0);

    private final RackFixture racks = new RackFixture(1, 1, RUN_MILLIS);

    /** One worker takes 50 times as long as usual; the pool has 20 cores, so 2 for copies. */
    private void startSlowRun(boolean allowDuplicates) {
        racks.slownessOf.put("near0", 50.0);
        racks.addWorkers(NEAR, 20, CORE);
        racks.fixture.accept("slow", step(1, allowDuplicates));
        racks.runUntil(1_500);
        assertThat(racks.fixture.runningByWorker.get("near0")).hasSize(1);
    }

    private static StepSpec step(int count, boolean allowDuplicates) {
        return new StepSpecBuilder()
                .count(count)
                .estimatedMillis(RUN_MILLIS)
                .allowDuplicates(allowDuplicates)
                .build();
    }

    private long startsOfTask() {
        return racks.fixture.events.stream()
                .filter(e -> e.kind() == SchedulerEvent.Kind.START)
                .filter(e -> e.job().equals("slow"))
                .count();
    }

    private long count(SchedulerEvent.Kind kind) {
        return racks.count(kind);
    }

    /** Guards against jobs that wait for one run that takes many times as long as others. */
    @Test
    void theFirstDoneOfTwoRunsCountsAndTheOtherIsStopped() {
        startSlowRun(true);
        racks.runUntil(4_000);
        assertThat(racks.doneAt).containsOnlyKeys(TASK.toString());
        assertThat(racks.doneAt.get(TASK.toString())).isLessThan(3_500);
        assertThat(count(SchedulerEvent.Kind.COPY_WON)).isEqualTo(1);
        assertThat(count(SchedulerEvent.Kind.STOP)).isEqualTo(1);
        assertThat(racks.fixture.runningByWorker.get("near0")).isEmpty();
        assertThat(startsOfTask()).isEqualTo(2);
    }

    /** Guards against a second run of a task whose step does not allow two at once. */
    @Test
    void withoutLeaveOfTheStepThereIsNoCopy() {
        startSlowRun(false);
        racks.runUntil(4_000);
        assertThat(startsOfTask()).isEqualTo(1);
    }

    /** Guards against a third run when one of two fails. */
    @Test
    void aFailedRunCountsAndTheOtherGoesOn() {
        startSlowRun(true);
        racks.runUntil(2_300);
        assertThat(count(SchedulerEvent.Kind.COPY_STARTED)).isEqualTo(1);
        racks.fixture.end("near0", TASK, RunEnd.FAILED);
        racks.fixture.report("near0");
        assertThat(racks.fixture.starts()).isEmpty();
        racks.runUntil(4_000);
        assertThat(racks.doneAt).containsOnlyKeys(TASK.toString());
        assertThat(startsOfTask()).isEqualTo(2);
    }

    /** Guards against a task that counts as done twice if both runs end before the stop arrives. */
    @Test
    void aSecondDoneLeadsToNoThirdStart() {
        startSlowRun(true);
        racks.runUntil(2_300);
        racks.fixture.end("near0", TASK, RunEnd.DONE);
        racks.fixture.end(racks.fixture.runningWorkerOf(TASK), TASK, RunEnd.DONE);
        racks.runUntil(4_000);
        assertThat(startsOfTask()).isEqualTo(2);
        racks.fixture.store();
        assertThat(racks.fixture.scheduler.stateOf("slow")).contains(JobState.COMPLETED);
    }

    /** The work of a task counted twice as finished, so that admission expected shorter waits. */
    @Test
    void theWorkOfATwiceDoneTaskCountsOnce() {
        startSlowRun(true);
        racks.runUntil(2_300);
        racks.fixture.end("near0", TASK, RunEnd.DONE);
        racks.fixture.report("near0");
        String workerOfCopy = racks.fixture.runningWorkerOf(TASK);
        long finished = finishedMilliCores();
        racks.fixture.end(workerOfCopy, TASK, RunEnd.DONE);
        racks.fixture.report(workerOfCopy);
        assertThat(finished).isPositive();
        assertThat(finishedMilliCores()).isEqualTo(finished);
    }

    private long finishedMilliCores() {
        return racks.fixture
                .scheduler
                .backlog()
                .finishedMilliCores(racks.fixture.now)
                .get(SchedulerFixture.POOL);
    }

    /** Guards against copies in room for which other tasks wait. */
    @Test
    void noCopyStartsWhileTasksWait() {
        startSlowRun(true);
        racks.fixture.accept("waits", RackFixture.step(400, 60_000, "", false));
        racks.runUntil(3_000);
        assertThat(count(SchedulerEvent.Kind.COPY_STARTED)).isZero();
    }

    /** Guards against copies that take most of a pool in which many runs are slow. */
    @Test
    void copiesTakeAtMostATenthOfThePool() {
        for (int i = 0; i < 8; i++) {
            racks.slownessOf.put("near" + i, 50.0);
        }
        racks.addWorkers(NEAR, 20, CORE);
        racks.fixture.accept("slow", step(8, true));
        racks.runUntil(2_300);
        assertThat(count(SchedulerEvent.Kind.COPY_STARTED)).isEqualTo(2);
    }

    /** Guards against a new holder that stops one of two runs, or starts a third one. */
    @Test
    void aNewHolderKeepsBothRunsAndHasNoThird() {
        racks.addWorkers(NEAR, 4, CORE);
        racks.fixture.acceptBegun("slow", step(1, true));
        for (int i = 0; i < 3; i++) {
            racks.fixture.runningByWorker.put(
                    "near" + i, new ArrayList<>(List.of(new RunningTask(TASK, i + 1, "", 1, 0))));
            racks.fixture.report("near" + i);
        }
        List<Order> orders = racks.fixture.plan();
        assertThat(orders).hasSize(1);
        assertThat(orders.get(0)).isInstanceOf(Order.Stop.class);
        assertThat(orders.get(0).run()).isEqualTo(3);
        racks.fixture.now += 3_000;
        racks.grantLeases();
        assertThat(racks.fixture.starts()).isEmpty();
    }
}
