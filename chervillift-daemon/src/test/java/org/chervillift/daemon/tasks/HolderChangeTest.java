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

/** How the fleet gets a new holder when there is much to read over slow links. */
class HolderChangeTest {

    private static final int PROCESSES = 44;
    private static final int JOBS = 2_000;
    private static final int PAYLOAD_BYTES = 2_000;
    private static final long LONGEST_LEASE = 2_500;
    private static final long FAST_BYTES_PER_SECOND = 17_500_000;
    private static final long SLOW_BYTES_PER_SECOND = 875_000;

    private final NodeFixture fixture = new NodeFixture();
    private final ManualScheduler scheduler = fixture.scheduler;
    private final MemoryStore store = fixture.store;
    private final MemoryFleet fleet = fixture.fleet;
    private final List<TaskNode> nodes = fixture.started;
    private final List<MemoryLink> links = new ArrayList<>();

    HolderChangeTest() {
        fixture.addWorker("w1", "vm-w1", NodeFixture.POOL, 10_000);
    }

    private TaskNode node(long bytesPerSecond) {
        String vm = "vm-" + nodes.size();
        MemoryLink link = new MemoryLink(store, scheduler, bytesPerSecond);
        links.add(link);
        return fixture.start(NodeFixture.settings(vm, bytesPerSecond * 8 / 1e6), link, vm + "/1");
    }

    private void pass(long millis) {
        fixture.pass(millis);
    }

    private static JobSpec spec(String id, int payloadBytes) {
        return NodeFixture.spec(id, "x".repeat(payloadBytes), 3);
    }

    /** Stores jobs that are over, as those of which callers may still ask the state. */
    private void storeFinishedJobs(int payloadBytes) {
        String progress = Json.encode(new JobProgress(1, JobState.COMPLETED, List.of()));
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", i + 1);
            AcceptedJob job =
                    new AcceptedJob(spec(id, payloadBytes), NodeFixture.POLICY, "distiller", 0);
            store.commit(
                    JobRows.partOf(id),
                    List.of(),
                    List.of(Write.put(JobRows.job(id), Json.encode(job))));
            store.commit(
                    JobRows.HOLDER_PART,
                    List.of(),
                    List.of(Write.put(JobRows.progress(id), progress)));
        }
        pass(100);
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

    private HolderRow lease() {
        CompletableFuture<Page> page =
                store.scan(JobRows.HOLDER, JobRows.HOLDER_PART, KeyRange.ALL).toCompletableFuture();
        while (!page.isDone()) {
            pass(10);
        }
        return page.join().rows().stream()
                .filter(r -> r.key().equals(JobRows.LEASE))
                .map(r -> Json.decode(r.value(), HolderRow.class))
                .findFirst()
                .orElseThrow();
    }

    /** Starts a holder on a fast link and all others, and stores jobs that it knows. */
    private void startFleet(long bytesPerSecond) {
        storeFinishedJobs(PAYLOAD_BYTES);
        node(FAST_BYTES_PER_SECOND);
        pass(1_500);
        while (nodes.size() < PROCESSES) {
            node(bytesPerSecond);
        }
        pass(2_000);
    }

    /** Cuts the holder off, and returns how long it takes until a task is started by another. */
    private long millisToFirstStart() {
        links.get(0).setCut(true);
        submit(nodes.get(1), "00000000000a0000");
        long from = scheduler.now().toEpochMilli();
        for (int i = 0; i < 1_200 && fleet.starts().isEmpty(); i++) {
            pass(100);
        }
        return scheduler.now().toEpochMilli() - from;
    }

    @Test
    void aSuccessorOnASlowLinkKeepsItsLeaseUntilItHasReadAllJobs() {
        startFleet(SLOW_BYTES_PER_SECOND);
        long term = lease().term();

        long millis = millisToFirstStart();

        assertThat(lease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).hasSize(3);
        assertThat(millis).isLessThan(readMillis(SLOW_BYTES_PER_SECOND) * 3 / 2 + LONGEST_LEASE);
    }

    /** Returns the time that the stored jobs alone take on a link. */
    private static long readMillis(long bytesPerSecond) {
        long base64Bytes = JOBS * PAYLOAD_BYTES * 4L / 3;
        return base64Bytes * 1_000 / bytesPerSecond;
    }

    @Test
    void aProcessOnAFastLinkTakesTheLeaseBeforeThoseOnSlowOnes() {
        storeFinishedJobs(PAYLOAD_BYTES);
        node(FAST_BYTES_PER_SECOND);
        pass(1_500);
        for (int i = 0; i < PROCESSES - 2; i++) {
            node(SLOW_BYTES_PER_SECOND);
            pass(7);
        }
        node(FAST_BYTES_PER_SECOND);
        pass(2_000);
        long term = lease().term();

        long millis = millisToFirstStart();

        assertThat(lease().term()).isEqualTo(term + 1);
        assertThat(lease().vm()).isEqualTo("vm-" + (PROCESSES - 1));
        assertThat(millis).isLessThan(LONGEST_LEASE);
    }

    @Test
    void aSuccessorOnALinkOfAFewRowsASecondKeepsItsLease() {
        startFleet(SLOW_BYTES_PER_SECOND / 7);
        long term = lease().term();
        millisToFirstStart();
        assertThat(lease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aSuccessorKeepsItsLeaseWhileTheStoreIsSlow() {
        startFleet(SLOW_BYTES_PER_SECOND);
        long term = lease().term();
        store.setLatency(Duration.ofMillis(400));
        millisToFirstStart();
        pass(1_000);
        assertThat(lease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aFleetOnFastLinksHasANewHolderSoon() {
        startFleet(FAST_BYTES_PER_SECOND);
        long term = lease().term();
        long millis = millisToFirstStart();
        assertThat(lease().term()).isEqualTo(term + 1);
        assertThat(millis).isLessThan(2_500);
    }

    @Test
    void aFormerHolderTellsNothingFromItsBoardOnceItsLeaseMayBeOver() {
        TaskNode former = node(FAST_BYTES_PER_SECOND);
        pass(500);
        TaskNode successor = node(FAST_BYTES_PER_SECOND);
        pass(2_000);
        links.get(0).setReadsOnly(true);
        for (int i = 0; i < 60; i++) {
            submit(successor, String.format("%016x", i + 1));
        }
        pass(3_000);

        JobRequest count =
                new JobRequest(
                        JobRequest.Action.READ, "h.example", "/q/", Optional.of("key"), i -> null);
        CompletableFuture<JobAnswer> answer = former.answer(count).toCompletableFuture();
        pass(50);
        assertThat(answer).isCompleted();
        assertThat(answer.join()).isNotEqualTo(new JobAnswer.Pending(0));
        assertThat(lease().term()).isEqualTo(2);
    }

    @Test
    void aSuccessorKeepsItsLeaseWhileItCatchesUpWithJobsOfTheMeantime() {
        startFleet(SLOW_BYTES_PER_SECOND);
        long term = lease().term();
        links.get(0).setCut(true);
        for (int i = 0; i < 1_000; i++) {
            String id = String.format("%016x", 0xa0000 + i);
            AcceptedJob job = new AcceptedJob(spec(id, 2_000), NodeFixture.POLICY, "distiller", 0);
            store.commit(
                    JobRows.partOf(id),
                    List.of(),
                    List.of(Write.put(JobRows.job(id), Json.encode(job))));
            pass(25);
        }
        assertThat(lease().term()).isEqualTo(term + 1);
        assertThat(fleet.starts()).isNotEmpty();
    }
}
