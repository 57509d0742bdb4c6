package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Page;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.HolderRow;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.http.Json;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.FleetTimes;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryLink;
import org.chervillift.standin.tasks.MemoryStore;
import org.junit.jupiter.api.Test;

/** How the fleet gets a new holder when there is much to read over slow links. */
class HolderChangeTest {

    private static final String POOL = "proofs";
    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final int PROCESSES = 44;
    private static final int JOBS = 2_000;
    private static final int PAYLOAD_BYTES = 2_000;
    private static final long LONGEST_LEASE = 2_500;
    private static final long FAST_BYTES_PER_SECOND = 17_500_000;
    private static final long SLOW_BYTES_PER_SECOND = 875_000;
    private static final QueuePolicy POLICY = new QueuePolicy("quick", POOL, 0, 2, 1.6, 600, false);

    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);
    private final MemoryFleet fleet =
            new MemoryFleet(
                    scheduler,
                    store,
                    FleetRowWriter::worker,
                    new FleetTimes(
                            Duration.ofMillis(500), Duration.ofSeconds(2), Duration.ofSeconds(2)),
                    Set.of());
    private final List<TaskNode> nodes = new ArrayList<>();
    private final List<MemoryLink> links = new ArrayList<>();

    HolderChangeTest() {
        scheduler.advance(Duration.ofSeconds(1_000));
        Write manifest =
                FleetRowWriter.configuration(
                        Manifest.of(
                                1,
                                List.of(new QueueRoute("h.example", "/q/", false, POLICY)),
                                List.of(new PoolPolicy(POOL, true, false)),
                                List.of(
                                        new Customer(
                                                "distiller", Set.of("key"), 1, Resources.NONE)),
                                10_000));
        store.put(manifest.key(), manifest.value().orElseThrow());
        fleet.add(
                new WorkerEntry(
                        "w1",
                        1,
                        "vm-w1",
                        POOL,
                        "127.0.0.1:1",
                        "dc",
                        false,
                        0,
                        new Resources(10_000, 100_000, 0),
                        List.of("a", "rack-1")));
    }

    private TaskNode node(long bytesPerSecond) {
        String vm = "vm-" + nodes.size();
        MemoryLink link = new MemoryLink(store, scheduler, bytesPerSecond);
        links.add(link);
        FleetSettings settings =
                new FleetSettings(
                        vm,
                        "dc",
                        bytesPerSecond * 8 / 1e6,
                        ANY,
                        ANY,
                        ANY,
                        ANY,
                        ANY,
                        Optional.empty(),
                        Duration.ofSeconds(6),
                        Duration.ofMillis(400),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(120),
                        Duration.ofSeconds(6));
        TaskNode node =
                new TaskNode(
                        settings,
                        scheduler,
                        new TaskNode.Ports(
                                link,
                                new FleetRowCodec(),
                                w -> fleet.worker(w.id()),
                                fleet,
                                Optional.empty()),
                        vm + "/1");
        nodes.add(node);
        node.start();
        return node;
    }

    private void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    private static JobSpec spec(String id, int payloadBytes) {
        StepSpec step =
                new StepSpec(
                        3,
                        new Resources(1_000, 100, 0),
                        500,
                        List.of(),
                        false,
                        false,
                        "",
                        "",
                        0,
                        false,
                        false,
                        "",
                        0,
                        false,
                        0,
                        false);
        return new JobSpec(id, "x".repeat(payloadBytes), List.of(step), Schedule.ONCE);
    }

    /** Stores jobs that are over, as those of which callers may still ask the state. */
    private void storeFinishedJobs(int payloadBytes) {
        String progress = Json.encode(new JobProgress(1, JobState.COMPLETED, List.of()));
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("%016x", i + 1);
            AcceptedJob job = new AcceptedJob(spec(id, payloadBytes), POLICY, "distiller", 0);
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
            AcceptedJob job = new AcceptedJob(spec(id, 2_000), POLICY, "distiller", 0);
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
