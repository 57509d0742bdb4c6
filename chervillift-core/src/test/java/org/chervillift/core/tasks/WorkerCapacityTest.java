package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.junit.jupiter.api.Test;

/** Tests that no start brings a worker over its capacity while that shrinks and grows. */
class WorkerCapacityTest {

    private static final Resources FULL = new Resources(4_000, 1_000, 2);
    private static final Resources SHRUNK = new Resources(1_000, 1_000, 2);
    private static final Resources WITHOUT_GPUS = new Resources(4_000, 1_000, 0);

    private final SchedulerFixture fixture = new SchedulerFixture();

    @Test
    void aWorkerThatShrankBelowWhatItRunsGetsNoTask() {
        addWorker(fixture, FULL);
        fixture.accept("a", SchedulerFixture.step(2, 1_000));
        assertThat(fixture.starts()).hasSize(2);

        list(fixture, SHRUNK);
        fixture.accept("b", SchedulerFixture.step(1, 500));
        assertThat(fixture.starts()).isEmpty();
        fixture.end("w1", new TaskId("a", 0, 0, 0), RunEnd.DONE);
        fixture.report("w1");
        assertThat(fixture.starts()).as("the worker is full").isEmpty();
        fixture.endAll("w1", RunEnd.DONE);
        assertThat(fixture.starts()).hasSize(1);
    }

    @Test
    void aWorkerThatIsOverItsCapacityGetsNoTaskThatAsksForNothingOfWhatIsShort() {
        addWorker(fixture, FULL);
        fixture.accept("a", step(new Resources(1_000, 100, 1)));
        assertThat(fixture.starts()).hasSize(1);

        list(fixture, WITHOUT_GPUS);
        fixture.accept("b", step(new Resources(1_000, 100, 0)));
        assertThat(fixture.starts()).isEmpty();
    }

    @Test
    void aWorkerThatHasGrownAgainGetsTasks() {
        addWorker(fixture, FULL);
        list(fixture, SHRUNK);
        fixture.accept("a", SchedulerFixture.step(4, 1_000));
        assertThat(fixture.starts()).hasSize(1);
        list(fixture, FULL);
        assertThat(fixture.starts()).hasSize(3);
    }

    @Test
    void aStartThatWaitsForTheStoreIsNotSentOnceItsWorkerHasShrunk() {
        addWorker(fixture, FULL);
        fixture.accept("a", SchedulerFixture.step(3, 1_000));
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();
        assertThat(fixture.scheduler.startGate().hasHeldStarts()).isTrue();

        list(fixture, SHRUNK);
        fixture.store();
        assertThat(fixture.starts()).hasSize(1);
        list(fixture, FULL);
        assertThat(fixture.starts()).hasSize(2);
    }

    @Test
    void aStartThatWaitsForTheStoreIsNotSentOnceItsWorkerDrains() {
        fixture.addWorker("w1", 4_000);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();

        fixture.scheduler.workerListed(SchedulerFixture.drainingEntry("w1", 4_000), fixture.now);
        fixture.store();
        assertThat(fixture.starts()).isEmpty();
    }

    @Test
    void aGangThatWaitsForTheStoreIsStartedWholeOrNotAtAllOnceAWorkerHasShrunk() {
        addWorker(fixture, FULL);
        fixture.accept("a", SchedulerFixture.step(3, 1_000, List.of(), true, false, 0));
        assertThat(fixture.scheduler.plan(fixture.now, fixture.now)).isEmpty();

        list(fixture, SHRUNK);
        fixture.store();
        assertThat(fixture.starts()).isEmpty();
        list(fixture, FULL);
        assertThat(fixture.starts()).hasSize(3);
    }

    @Test
    void aNewHolderStartsNothingOnAWorkerThatShrankBelowWhatItRuns() {
        SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);
        successor.acceptBegun("a", SchedulerFixture.step(2, 1_000));
        successor.accept("b", SchedulerFixture.step(1, 500));
        successor.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        successor.runningByWorker.put("w1", List.of(running("a", 0), running("a", 1)));
        addWorker(successor, SHRUNK);

        assertThat(successor.starts()).isEmpty();
    }

    @Test
    void aRunThatIsBeingStoppedStillCounts() {
        addWorker(fixture, SHRUNK);
        fixture.accept("a", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.starts()).hasSize(1);
        fixture.scheduler.cancel("a", fixture.now);
        fixture.accept("b", SchedulerFixture.step(1, 1_000));
        assertThat(fixture.orders()).singleElement().isInstanceOf(Order.Stop.class);
    }

    private static RunningTask running(String job, int index) {
        return new RunningTask(new TaskId(job, 0, 0, index), 1, "", 50, 0);
    }

    private static void addWorker(SchedulerFixture fixture, Resources capacity) {
        list(fixture, capacity);
        fixture.report("w1");
        fixture.scheduler.leaseGranted("w1", fixture.now + SchedulerFixture.LEASE_MILLIS);
    }

    private static void list(SchedulerFixture fixture, Resources capacity) {
        WorkerEntry e = SchedulerFixture.entry("w1", 1);
        fixture.scheduler.workerListed(
                new WorkerEntry(
                        e.id(),
                        e.bornAtMillis(),
                        e.vm(),
                        e.pool(),
                        e.address(),
                        e.dataCentre(),
                        e.draining(),
                        e.remainingMillis(),
                        capacity,
                        e.labels()),
                fixture.now);
    }

    private static StepSpec step(Resources request) {
        return new StepSpecBuilder().request(request).build();
    }
}
