package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Page;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.core.tasks.JobProgress.TaskFailures;
import org.chervillift.core.tasks.ProgressPart;
import org.chervillift.http.Json;
import org.chervillift.standin.tasks.MemoryLink;
import org.junit.jupiter.api.Test;

/** Tests jobs whose progress is stored in parts, over changes of the holder. */
class JobInPartsTest {

    private static final String LARGE = "5c0e7a21d94b36f8";
    private static final String SMALL = "5c0e7a21d94b36f9";
    private static final int TASKS = 900;
    private static final int TASKS_AT_ONCE = 300;
    private static final long BYTES_PER_SECOND = 17_500_000;

    private final NodeFixture fixture = new NodeFixture();
    private final List<MemoryLink> links = new ArrayList<>();
    private final TaskNode holder;
    private final TaskNode successor;

    JobInPartsTest() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 900_000);
        holder = startNode("a");
        successor = startNode("b");
    }

    private TaskNode startNode(String vm) {
        MemoryLink link =
                new MemoryLink(fixture.delayingStore, fixture.scheduler, BYTES_PER_SECOND);
        links.add(link);
        return fixture.startNodeAndWait(vm, link);
    }

    /**
     * Hands in the job, and crashes the worker under all of its tasks; another one takes over, with
     * room for a third of them.
     */
    private void crashUnderAllTasks() {
        fixture.await(
                holder.answer(
                        NodeFixture.request(
                                JobRequest.Action.SUBMIT, LARGE, NodeFixture.KEY, TASKS)));
        for (int i = 0; i < 100 && runningOn("w1") < TASKS; i++) {
            fixture.advanceMillis(10);
        }
        assertThat(runningOn("w1")).isEqualTo(TASKS);
        fixture.fleet.worker("w1").crash();
        fixture.addWorker("w2", "vm-w2", NodeFixture.POOL, 1_000 * TASKS_AT_ONCE);
    }

    private void awaitStarts(int count) {
        for (int i = 0; i < 1_000 && fixture.fleet.starts().size() < count; i++) {
            fixture.advanceMillis(10);
        }
        assertThat(fixture.fleet.starts()).hasSizeGreaterThanOrEqualTo(count);
    }

    private int runningOn(String worker) {
        return fixture.fleet.worker(worker).runningCount();
    }

    private void loseHolder() {
        links.get(0).setCut(true);
    }

    private List<Row> storedParts() {
        CompletableFuture<Page> page =
                fixture.store
                        .scan(StoreLayout.PARTS_TABLE, StoreLayout.HOLDER_PARTITION, KeyRange.ALL)
                        .toCompletableFuture();
        fixture.advanceMillis(10);
        return page.join().rows();
    }

    private void assertCompletes(String id) {
        assertThat(fixture.ask(successor, JobRequest.Action.READ, id))
                .isEqualTo(new JobAnswer.State(JobStatus.of(JobState.COMPLETED)));
    }

    private void assertAllRunOnceAfterTheCrash() {
        assertThat(fixture.fleet.starts().stream().filter(s -> s.endsWith("@w2"))).hasSize(TASKS);
    }

    @Test
    void aNewHolderKnowsWhichTasksAreDone() {
        crashUnderAllTasks();
        awaitStarts(TASKS + 2 * TASKS_AT_ONCE);
        loseHolder();
        assertThat(runningOn("w2")).isPositive();
        fixture.advanceMillis(15_000);
        assertCompletes(LARGE);
        assertAllRunOnceAfterTheCrash();
    }

    @Test
    void aNewHolderCountsTheCrashesThatItsPredecessorStored() {
        crashUnderAllTasks();
        awaitStarts(TASKS + TASKS_AT_ONCE);
        loseHolder();
        awaitStarts(TASKS + 2 * TASKS_AT_ONCE);
        fixture.fleet.worker("w2").crash();
        fixture.addWorker("w3", "vm-w3", NodeFixture.POOL, 1_000_000);
        fixture.advanceMillis(8_000);
        assertThat(storedParts().stream().map(r -> Json.decode(r.value(), ProgressPart.class)))
                .anySatisfy(p -> assertThat(p.tasks().failures()).anyMatch(f -> crashes(f) == 2));
    }

    private static int crashes(TaskFailures failures) {
        return failures.crashes().confirmed().size();
    }

    /** Each part is stored, the row that says so is not: the successor begins with the old row. */
    @Test
    void aHolderThatIsLostBetweenThePartsAndTheirFirstRowStartsNoTaskTwice() {
        fixture.delayingStore.hold(JobInPartsTest::isHead);
        crashUnderAllTasks();
        for (int i = 0; i < 1_000 && fixture.delayingStore.heldCount() == 0; i++) {
            fixture.advanceMillis(10);
        }
        fixture.advanceMillis(100);
        assertThat(storedParts()).isNotEmpty();
        assertThat(fixture.fleet.starts()).hasSize(TASKS);
        loseHolder();
        fixture.delayingStore.stopHolding();
        fixture.advanceMillis(15_000);
        assertCompletes(LARGE);
        assertAllRunOnceAfterTheCrash();
    }

    private static boolean isHead(Write write) {
        return write.key().equals(StoreLayout.progressKey(LARGE))
                && write.value().filter(v -> v.contains("partsTerm\":1")).isPresent();
    }

    @Test
    void thePartsAreDeletedOnceTheJobHasEnded() {
        crashUnderAllTasks();
        fixture.advanceMillis(7_000);
        fixture.await(
                successor.answer(
                        NodeFixture.request(
                                JobRequest.Action.CANCEL, LARGE, NodeFixture.KEY, TASKS)));
        fixture.advanceMillis(2_000);
        assertThat(storedParts()).isEmpty();
    }

    /** The successor finds parts of a job that its predecessor had ended. */
    @Test
    void thePartsThatALostHolderLeftAreDeleted() {
        crashUnderAllTasks();
        fixture.delayingStore.hold(w -> isPart(w) && w.value().isEmpty());
        fixture.advanceMillis(12_000);
        assertCompletes(LARGE);
        assertThat(storedParts()).isNotEmpty();
        loseHolder();
        fixture.delayingStore.stopHolding();
        fixture.advanceMillis(10_000);
        assertThat(storedParts()).isEmpty();
        assertCompletes(LARGE);
    }

    private static boolean isPart(Write write) {
        return write.key().table().equals(StoreLayout.PARTS_TABLE);
    }

    @Test
    void aJobOfWhichAPartCannotBeReadIsLeftAloneAndOthersRun() {
        crashUnderAllTasks();
        for (int i = 0; i < 1_000 && storedParts().isEmpty(); i++) {
            fixture.advanceMillis(10);
        }
        loseHolder();
        Row part = storedParts().getFirst();
        fixture.store.commit(
                StoreLayout.HOLDER_PARTITION, List.of(), List.of(Write.put(part.key(), "{")));
        fixture.advanceMillis(10_000);
        int starts = fixture.fleet.starts().size();
        fixture.ask(successor, JobRequest.Action.SUBMIT, SMALL);
        fixture.advanceMillis(3_000);
        assertCompletes(SMALL);
        assertThat(fixture.fleet.starts()).hasSize(starts + 1);
    }
}
