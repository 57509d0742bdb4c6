package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobRequest.Action;
import org.chervillift.api.tasks.JobState;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.MemoryStore;
import org.junit.jupiter.api.Test;

/** Tests what a holder does with rows that it can read and cannot apply. */
class UnappliedRowsTest extends FaultyPlatformTestBase {

    private static StepProgress progress(int step, List<Integer> done) {
        return new StepProgress(0, step, done, List.of(), List.of(NodeFixture.POOL), List.of());
    }

    /** A task that is stored as done must not start again, whatever else its row says. */
    @Test
    void aDoneTaskOfAJobWhoseProgressCannotBeAppliedDoesNotStartAgain() {
        AcceptedJob job =
                new AcceptedJob(
                        NodeFixture.spec(JOB, "payload", 2), NodeFixture.POLICY, "distiller", 0);
        fixture.store.commit(
                StoreLayout.partitionOf(JOB),
                List.of(),
                List.of(Write.put(StoreLayout.jobKey(JOB), Json.encode(job))));
        JobProgress stored =
                new JobProgress(
                        1,
                        JobState.RUNNING,
                        List.of(progress(7, List.of()), progress(0, List.of(0))));
        fixture.store.commit(
                StoreLayout.HOLDER_PARTITION,
                List.of(),
                List.of(Write.put(StoreLayout.progressKey(JOB), Json.encode(stored))));
        fixture.addVm("v1");
        fixture.startNode("a", platform);
        fixture.advanceMillis(12_000);
        assertThat(platform.count("start")).as("starts of tasks").isLessThanOrEqualTo(1);
    }

    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);

    private TableFollower failingFollower() {
        return new TableFollower(
                platform.store(store),
                "t",
                List.of("p-0", "p-1", "p-2"),
                TableFollower.DEFAULT_POLL_WAIT,
                new Supervision(scheduler, new TaskMetrics()),
                () -> StoreClock.UNKNOWN,
                new TableFollower.Listener() {
                    @Override
                    public void loaded(List<Row> rows) {
                        throw new IllegalStateException("injected");
                    }

                    @Override
                    public void changed(List<Change> changes) {
                        throw new IllegalStateException("injected");
                    }
                });
    }

    /** The pause between two reads started anew with each page. */
    @Test
    void aTableWhoseRowsCanNotBeAppliedIsReadLessAndLessOften() {
        TableFollower follower = failingFollower();
        follower.start();
        scheduler.advance(Duration.ofSeconds(20));
        follower.stop();
        // With the pauses 0.1, 0.2, 0.4, 0.8, 0.8...: 28 times three partitions.
        assertThat(platform.count("scan t")).isLessThanOrEqualTo(3 * 28);
    }

    /** The copy counted as current, so that tasks started without notices of workers. */
    @Test
    void aCopyThatCouldNotBeAppliedIsNotCurrent() {
        TableFollower follower = failingFollower();
        follower.start();
        scheduler.advance(Duration.ofSeconds(20));
        follower.stop();
        long age = scheduler.now().toEpochMilli() - follower.completeUntil();
        assertThat(age).as("age of a copy that was never applied").isGreaterThan(10_000);
    }

    /** The registry cannot be applied any more, and the worker gives notice of its end. */
    @Test
    void noTaskStartsWhileTheNoticesOfWorkersCannotBeApplied() {
        fixture.addVm("v1");
        FaultyPlatform faulty = new FaultyPlatform();
        TaskNode node = fixture.startNode("a", faulty);
        fixture.advanceMillis(2_000);
        faulty.failNext("worker row", CallFault.THROWS, Integer.MAX_VALUE);
        fixture.addVm("v2");
        fixture.advanceMillis(10_000);
        int before = faulty.count("start");
        fixture.ask(node, Action.SUBMIT, JOB);
        fixture.advanceMillis(3_000);
        assertThat(faulty.count("start") - before).as("starts on an old copy").isZero();
    }
}
