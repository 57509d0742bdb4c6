package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Page;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.core.tasks.HolderRow;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryLink;
import org.chervillift.standin.tasks.MemoryStore;
import org.junit.jupiter.api.Test;

/** Tests the change of the holder when a new one has many jobs to read over a slow link. */
class HolderFailoverTest {

    private static final int PROCESS_COUNT = 44;
    private static final int JOB_COUNT = 2_000;
    private static final int PAYLOAD_BYTES = 2_000;
    private static final long MAX_LEASE_MILLIS = 2_500;
    private static final long FAST_BYTES_PER_SECOND = 17_500_000;
    private static final long SLOW_BYTES_PER_SECOND = 875_000;

    private final NodeFixture fixture = new NodeFixture();
    private final ManualScheduler scheduler = fixture.scheduler;
    private final MemoryStore store = fixture.store;
    private final MemoryFleet fleet = fixture.fleet;
    private final List<TaskNode> nodes = fixture.startedNodes;
    private final List<MemoryLink> links = new ArrayList<>();

    HolderFailoverTest() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 10_000);
    }

    private TaskNode startNode(long bytesPerSecond) {
        String vm = "vm-" + nodes.size();
        MemoryLink link = new MemoryLink(store, scheduler, bytesPerSecond);
        links.add(link);
        return fixture.startNode(
                NodeFixture.settings(vm, bytesPerSecond * 8 / 1e6), link, vm + "/1");
    }

    private void advanceMillis(long millis) {
        fixture.advanceMillis(millis);
    }

    private static JobSpec spec(String id, int payloadBytes) {
        return NodeFixture.spec(id, "x".repeat(payloadBytes), 3);
    }

    /** Stores finished jobs, whose state callers may still read. */
    private void storeFinishedJobs(int payloadBytes) {
        String progress = Json.encode(new JobProgress(1, JobState.COMPLETED, List.of()));
        for (int i = 0; i < JOB_COUNT; i++) {
            String id = String.format("%016x", i + 1);
            AcceptedJob job =
                    new AcceptedJob(spec(id, payloadBytes), NodeFixture.POLICY, "distiller", 0);
            store.commit(
                    StoreLayout.partitionOf(id),
                    List.of(),
                    List.of(Write.put(StoreLayout.jobKey(id), Json.encode(job))));
            store.commit(
                    StoreLayout.HOLDER_PARTITION,
                    List.of(),
                    List.of(Write.put(StoreLayout.progressKey(id), progress)));
        }
        advanceMillis(100);
    }

    private void submit(TaskNode node, String id) {
        node.answer(
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        "/q/" + id,
                        Optional.of("key"),
                        i -> spec(i, 100)));
    }

    private HolderRow readLease() {
        CompletableFuture<Page> page =
                store.scan(StoreLayout.HOLDER_TABLE, StoreLayout.HOLDER_PARTITION, KeyRange.ALL)
                        .toCompletableFuture();
        while (!page.isDone()) {
            advanceMillis(10);
        }
        return page.join().rows().stream()
                .filter(r -> r.key().equals(StoreLayout.LEASE_KEY))
                .map(r -> Json.decode(r.value(), HolderRow.class))
                .findFirst()
                .orElseThrow();
    }

    /** Stores finished jobs, and starts a holder on a fast link, then all other processes. */
    private void startFleet(long bytesPerSecond) {
        storeFinishedJobs(PAYLOAD_BYTES);
        startNode(FAST_BYTES_PER_SECOND);
        advanceMillis(1_500);
        while (nodes.size() < PROCESS_COUNT) {
            startNode(bytesPerSecond);
        }
        advanceMillis(2_000);
    }

    /** Cuts the holder's link, and returns the time until another process starts a task. */
    private long millisToFirstStart() {
        links.get(0).setCut(true);
        submit(nodes.get(1), "00000000000a0000");
        long from = scheduler.now().toEpochMilli();
        for (int i = 0; i < 1_200 && fleet.starts().isEmpty(); i++) {
            advanceMillis(100);
        }
        return scheduler.now().toEpochMilli() - from;
    }

    @Test
    void aSuccessorOnASlowLinkKeepsItsLeaseUntilItHasReadAllJobs() {
        startFleet(SLOW_BYTES_PER_SECOND);
        long term = readLease().term();

        long millis = millisToFirstStart();

        assertThat(readLease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).hasSize(3);
        assertThat(millis)
                .isLessThan(minReadMillis(SLOW_BYTES_PER_SECOND) * 3 / 2 + MAX_LEASE_MILLIS);
    }

    /** Returns the time that the payloads of the stored jobs take on a link, in milliseconds. */
    private static long minReadMillis(long bytesPerSecond) {
        long base64Bytes = JOB_COUNT * PAYLOAD_BYTES * 4L / 3;
        return base64Bytes * 1_000 / bytesPerSecond;
    }

    @Test
    void aProcessOnAFastLinkTakesTheLeaseBeforeThoseOnSlowOnes() {
        storeFinishedJobs(PAYLOAD_BYTES);
        startNode(FAST_BYTES_PER_SECOND);
        advanceMillis(1_500);
        for (int i = 0; i < PROCESS_COUNT - 2; i++) {
            startNode(SLOW_BYTES_PER_SECOND);
            advanceMillis(7);
        }
        startNode(FAST_BYTES_PER_SECOND);
        advanceMillis(2_000);
        long term = readLease().term();

        long millis = millisToFirstStart();

        assertThat(readLease().term()).isEqualTo(term + 1);
        assertThat(readLease().vm()).isEqualTo("vm-" + (PROCESS_COUNT - 1));
        assertThat(millis).isLessThan(MAX_LEASE_MILLIS);
    }

    @Test
    void aSuccessorOnALinkOfAFewRowsPerSecondKeepsItsLease() {
        startFleet(SLOW_BYTES_PER_SECOND / 7);
        long term = readLease().term();
        millisToFirstStart();
        assertThat(readLease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aSuccessorKeepsItsLeaseWhileTheStoreIsSlow() {
        startFleet(SLOW_BYTES_PER_SECOND);
        long term = readLease().term();
        store.setLatency(Duration.ofMillis(400));
        millisToFirstStart();
        advanceMillis(1_000);
        assertThat(readLease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aFleetOnFastLinksHasANewHolderSoon() {
        startFleet(FAST_BYTES_PER_SECOND);
        long term = readLease().term();
        long millis = millisToFirstStart();
        assertThat(readLease().term()).isEqualTo(term + 1);
        assertThat(millis).isLessThan(2_500);
    }

    @Test
    void formerHolderDoesNotAnswerFromItsBoardOnceItsLeaseMayHaveExpired() {
        TaskNode former = startNode(FAST_BYTES_PER_SECOND);
        advanceMillis(500);
        TaskNode successor = startNode(FAST_BYTES_PER_SECOND);
        advanceMillis(2_000);
        links.get(0).setReadsOnly(true);
        for (int i = 0; i < 60; i++) {
            submit(successor, String.format("%016x", i + 1));
        }
        advanceMillis(3_000);

        JobRequest count =
                new JobRequest(
                        JobRequest.Action.READ, "h.example", "/q/", Optional.of("key"), i -> null);
        CompletableFuture<JobAnswer> answer = former.answer(count).toCompletableFuture();
        advanceMillis(50);
        assertThat(answer).isCompleted();
        assertThat(answer.join()).isNotEqualTo(new JobAnswer.Pending(0));
        assertThat(readLease().term()).isEqualTo(2);
    }

    @Test
    void aSuccessorKeepsItsLeaseWhileItCatchesUpWithJobsStoredMeanwhile() {
        startFleet(SLOW_BYTES_PER_SECOND);
        long term = readLease().term();
        links.get(0).setCut(true);
        for (int i = 0; i < 1_000; i++) {
            String id = String.format("%016x", 0xa0000 + i);
            AcceptedJob job = new AcceptedJob(spec(id, 2_000), NodeFixture.POLICY, "distiller", 0);
            store.commit(
                    StoreLayout.partitionOf(id),
                    List.of(),
                    List.of(Write.put(StoreLayout.jobKey(id), Json.encode(job))));
            advanceMillis(25);
        }
        assertThat(readLease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).isNotEmpty();
    }
}
