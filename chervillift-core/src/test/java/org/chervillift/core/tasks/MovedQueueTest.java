package org.chervillift.core.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WorkerEntry;
import org.junit.jupiter.api.Test;

/** Tests tasks whose queue is moved to another pool by a new configuration, and back. */
class MovedQueueTest {

    private static final String OTHER_POOL = "hub";

    private final SchedulerFixture holder = new SchedulerFixture();
    private final SchedulerFixture successor = new SchedulerFixture(2, Resources.NONE);

    private static Manifest manifest(long version, String pool) {
        QueuePolicy policy = new QueuePolicy(SchedulerFixture.QUEUE, pool, 0, 2, 1.6, 600, false);
        return Manifest.of(
                version,
                List.of(new QueueRoute("h.example", "/q/", false, policy)),
                List.of(),
                List.of(),
                1_000);
    }

    private static WorkerEntry entryInOtherPool(String id) {
        return new WorkerEntry(
                id,
                1,
                "vm-" + id,
                OTHER_POOL,
                "127.0.0.1:1",
                "dc",
                false,
                0,
                new Resources(4_000, 10_000, 0),
                List.of("a", "rack-1"));
    }

    private static void addWorkerInOtherPool(SchedulerFixture fixture, String id) {
        fixture.scheduler.workerListed(entryInOtherPool(id), fixture.now);
        fixture.report(id);
        fixture.scheduler.leaseGranted(id, fixture.now + SchedulerFixture.LEASE_MILLIS);
    }

    /** Starts a task in the other pool while its queue is there, and moves the queue back. */
    private void startInOtherPool() {
        holder.accept("a", SchedulerFixture.step(1, 1_000));
        holder.scheduler.configure(manifest(2, OTHER_POOL));
        addWorkerInOtherPool(holder, "h1");
        holder.addWorker("w1", 4_000);
        assertThat(holder.starts()).extracting(Order.Start::worker).containsExactly("h1");
        holder.scheduler.configure(manifest(3, SchedulerFixture.POOL));
    }

    /** Lets a new holder continue; it reaches the worker in the first pool only. */
    private void succeed(JobProgress stored) {
        successor.scheduler.configure(manifest(3, SchedulerFixture.POOL));
        successor.scheduler.addPredecessorWorker("h1", OTHER_POOL);
        successor.scheduler.addPredecessorWorker("w1", SchedulerFixture.POOL);
        successor.accept("a", SchedulerFixture.step(1, 1_000));
        successor.scheduler.restore("a", stored);
        successor.addWorker("w1", 4_000);
    }

    /** The new holder looked only at the pool of acceptance and at the newest one. */
    @Test
    void aNewHolderDoesNotStartATaskThatRunsInAPoolWhichItsQueueHadInBetween() {
        startInOtherPool();
        succeed(holder.lastStored.get("a"));
        assertThat(successor.starts()).isEmpty();

        successor.now += SchedulerFixture.LEASE_MILLIS + 1;
        successor.report("w1");
        successor.scheduler.leaseGranted("w1", successor.now + SchedulerFixture.LEASE_MILLIS);
        assertThat(successor.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    @Test
    void aNewHolderStartsTheTaskOnceTheOtherPoolHasReported() {
        startInOtherPool();
        succeed(holder.lastStored.get("a"));
        addWorkerInOtherPool(successor, "h1");
        assertThat(successor.starts()).extracting(Order.Start::worker).containsExactly("w1");
    }

    @Test
    void aNewHolderWaitsForAllPoolsWhereTheStoredProgressNamesNone() {
        JobProgress.StepProgress step =
                new JobProgress.StepProgress(0, 0, List.of(), List.of(), List.of(), List.of());
        succeed(new JobProgress(1, JobState.RUNNING, List.of(step)));
        assertThat(successor.starts()).isEmpty();
        addWorkerInOtherPool(successor, "h1");
        assertThat(successor.starts()).hasSize(1);
    }

    @Test
    void aBegunStepIsStoredAgainBeforeItStartsInAnotherPool() {
        holder.addWorker("w1", 1_000);
        addWorkerInOtherPool(holder, "h1");
        holder.accept("a", SchedulerFixture.step(2, 1_000));
        assertThat(holder.starts()).hasSize(1);

        holder.scheduler.configure(manifest(2, OTHER_POOL));
        assertThat(holder.scheduler.plan(holder.now, holder.now)).isEmpty();
        assertThat(holder.scheduler.startGate().hasHeldStarts()).isTrue();
        holder.store();
        assertThat(holder.lastStored.get("a").steps().getFirst().pools())
                .containsExactlyInAnyOrder(SchedulerFixture.POOL, OTHER_POOL);
        assertThat(holder.scheduler.plan(holder.now, holder.now)).hasSize(1);
    }
}
