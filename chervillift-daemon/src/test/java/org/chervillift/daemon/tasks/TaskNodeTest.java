package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.platform.Transaction.Write;
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
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.FleetTimes;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryStore;
import org.chervillift.standin.tasks.MemoryWorker;
import org.chervillift.standin.tasks.SeenMove;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

class TaskNodeTest {

    private static final String POOL = "proofs";
    private static final String STANDBY = "spare";
    private static final long TAKE_TURNS_MILLIS = 3_000;
    private static final long TURN_MARGIN_MILLIS = 1_000;
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final Duration RUN_TIME = Duration.ofMillis(500);
    private static final HostPort ANY = new HostPort("127.0.0.1", 0);

    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);
    private final MemoryFleet fleet =
            new MemoryFleet(
                    scheduler,
                    store,
                    FleetRowWriter::worker,
                    new FleetTimes(RUN_TIME, Duration.ofSeconds(2), Duration.ofSeconds(2)),
                    Set.of(STANDBY));
    private final List<TaskNode> nodes = new ArrayList<>();

    TaskNodeTest() {
        scheduler.advance(Duration.ofSeconds(1_000));
        configure(manifest(1, Set.of("key")));
        fleet.holdMoves(true);
    }

    private void configure(Manifest manifest) {
        Write write = FleetRowWriter.configuration(manifest);
        store.put(write.key(), write.value().orElseThrow());
    }

    private MemoryWorker addWorker(String id, long milliCores) {
        fleet.add(entry(id, "vm-" + id, POOL, milliCores));
        return fleet.worker(id);
    }

    private void addStandby(String vm) {
        fleet.add(entry(vm + "-worker", vm, STANDBY, 1_000));
    }

    private static WorkerEntry entry(String id, String vm, String pool, long milliCores) {
        return new WorkerEntry(
                id,
                1,
                vm,
                pool,
                "127.0.0.1:1",
                "dc",
                false,
                0,
                new Resources(milliCores, 100_000, 0),
                List.of("a", "rack-1"));
    }

    private static Manifest manifest(long version, Set<String> keys) {
        QueuePolicy policy = new QueuePolicy("quick", POOL, 0, 2, 1.6, 600, false);
        return Manifest.of(
                version,
                List.of(new QueueRoute("h.example", "/q/", false, policy)),
                List.of(new PoolPolicy(POOL, true, false), new PoolPolicy(STANDBY, true, true)),
                List.of(new Customer("distiller", keys, 1, Resources.NONE)),
                10_000);
    }

    private TaskNode node(String vm) {
        FleetSettings settings =
                new FleetSettings(
                        vm,
                        "dc",
                        ANY,
                        ANY,
                        ANY,
                        ANY,
                        ANY,
                        Optional.empty(),
                        Duration.ofSeconds(6),
                        Duration.ofMillis(400),
                        Duration.ofMillis(TAKE_TURNS_MILLIS),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(120),
                        Duration.ofSeconds(6));
        TaskNode node =
                new TaskNode(
                        settings,
                        scheduler,
                        new TaskNode.Ports(
                                store,
                                new FleetRowCodec(),
                                w -> fleet.worker(w.id()),
                                fleet,
                                Optional.empty()),
                        vm + "/" + nodes.size());
        nodes.add(node);
        node.start();
        return node;
    }

    /** Starts a node, and lets it read the store and find or become the holder. */
    private TaskNode runningNode(String vm) {
        TaskNode node = node(vm);
        pass(500);
        return node;
    }

    private static JobRequest request(JobRequest.Action action, String id, String key, int count) {
        StepSpec step =
                new StepSpec(
                        count,
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
        return new JobRequest(
                action,
                "h.example",
                "/q/" + id,
                Optional.ofNullable(key),
                i -> new JobSpec(i, "payload", List.of(step), Schedule.ONCE));
    }

    private JobAnswer ask(TaskNode node, JobRequest.Action action, String id) {
        return await(node.answer(request(action, id, "key", 3)));
    }

    private JobAnswer await(CompletionStage<JobAnswer> stage) {
        for (int i = 0; i < 300 && !stage.toCompletableFuture().isDone(); i++) {
            scheduler.advance(Duration.ofMillis(10));
        }
        return stage.toCompletableFuture().join();
    }

    private void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    @Test
    void aJobIsAcceptedRunAndReportedByAnyProcess() {
        addWorker("w1", 10_000);
        TaskNode a = node("a");
        TaskNode b = runningNode("b");

        assertThat(ask(b, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        assertThat(ask(a, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Accepted.class);
        pass(1_000);

        for (TaskNode node : nodes) {
            assertThat(ask(node, JobRequest.Action.READ, JOB))
                    .isEqualTo(new JobAnswer.State(JobState.COMPLETED));
        }
        assertThat(fleet.starts()).hasSize(3).doesNotHaveDuplicates();
    }

    @Test
    void unknownJobsQueuesAndKeysAreToldApart() {
        TaskNode a = runningNode("a");
        assertThat(ask(a, JobRequest.Action.READ, JOB)).isInstanceOf(JobAnswer.NoSuchJob.class);
        assertThat(ask(a, JobRequest.Action.CANCEL, JOB)).isInstanceOf(JobAnswer.NoSuchJob.class);
        assertThat(await(a.answer(request(JobRequest.Action.SUBMIT, JOB, "other", 1))))
                .isInstanceOf(JobAnswer.KeyRefused.class);
        assertThat(await(a.answer(request(JobRequest.Action.SUBMIT, JOB, null, 1))))
                .isInstanceOf(JobAnswer.KeyRefused.class);
        assertThat(ask(a, JobRequest.Action.SUBMIT, "short"))
                .isInstanceOf(JobAnswer.Malformed.class);
        JobRequest elsewhere =
                new JobRequest(
                        JobRequest.Action.READ, "x.example", "/q/", Optional.empty(), i -> null);
        assertThat(await(a.answer(elsewhere))).isInstanceOf(JobAnswer.NoSuchQueue.class);
    }

    @Test
    void aMalformedJobIsRefusedAndCostsTheStoreNothing() {
        TaskNode a = runningNode("a");
        JobRequest broken =
                new JobRequest(
                        JobRequest.Action.SUBMIT,
                        "h.example",
                        "/q/" + JOB,
                        Optional.of("key"),
                        i -> {
                            throw new ChervilliftException(ErrorCode.BAD_REQUEST, "no step");
                        });
        JobAnswer answer = await(a.answer(broken));
        assertThat(answer).isInstanceOf(JobAnswer.Malformed.class);
        assertThat(((JobAnswer.Malformed) answer).detail()).contains("no step");
        assertThat(ask(a, JobRequest.Action.READ, JOB)).isInstanceOf(JobAnswer.NoSuchJob.class);
    }

    @Test
    void aRefusalWhileTheStoreIsDownIsTrueAndALostReplyIsNoRefusal() {
        addWorker("w1", 10_000);
        TaskNode a = runningNode("a");

        store.setFault(StoreFault.DOWN);
        assertThat(ask(a, JobRequest.Action.SUBMIT, JOB)).isInstanceOf(JobAnswer.Unavailable.class);
        store.setFault(StoreFault.NONE);
        pass(3_000);
        assertThat(fleet.starts()).isEmpty();

        store.setFault(StoreFault.LOSE_REPLIES);
        JobAnswer lost = ask(a, JobRequest.Action.SUBMIT, JOB);
        assertThat(lost).isNotInstanceOf(JobAnswer.Unavailable.class);
        store.setFault(StoreFault.NONE);
        pass(4_000);
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aCancelledJobStopsAndStaysCancelled() {
        MemoryWorker worker = addWorker("w1", 10_000);
        TaskNode a = node("a");
        TaskNode b = runningNode("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        pass(100);
        assertThat(worker.runningCount()).isEqualTo(3);

        assertThat(ask(b, JobRequest.Action.CANCEL, JOB)).isInstanceOf(JobAnswer.Cancelled.class);
        pass(300);
        assertThat(worker.runningCount()).isZero();
        pass(2_000);
        assertThat(ask(a, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobState.CANCELLED));
        assertThat(fleet.starts()).hasSize(3);
    }

    @Test
    void aNewHolderGoesOnWithoutStartingAnythingTwice() {
        addWorker("w1", 2_000);
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        pass(700);

        a.drain();
        pass(4_000);

        assertThat(ask(b, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobState.COMPLETED));
        Set<String> tasks = new HashSet<>();
        fleet.starts().forEach(s -> tasks.add(s.substring(0, s.indexOf('#'))));
        assertThat(tasks).hasSize(3);
        assertThat(fleet.starts()).hasSize(3);
    }

    /** The store is slow while the holder changes: what can be read side by side is. */
    @Test
    void aNewHolderStartsTasksAfterFewCallsToTheStore() {
        addWorker("w1", 10_000);
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        long millis = 225;
        store.setLatency(Duration.ofMillis(millis));
        a.drain();
        ask(b, JobRequest.Action.SUBMIT, JOB);
        long released = scheduler.now().toEpochMilli();
        while (fleet.starts().isEmpty() && scheduler.now().toEpochMilli() < released + 10_000) {
            pass(10);
        }
        int takeover = 1;
        int reads = 1;
        int workersStored = 1;
        int stepBegun = 1;
        long calls = takeover + reads + workersStored + stepBegun;
        assertThat(scheduler.now().toEpochMilli() - released).isLessThan((calls + 1) * millis);
    }

    @Test
    void aNewHolderMovesVmsAtOnceButWaitsForThoseThatItsPredecessorMoved() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        pass(400);
        assertThat(fleet.moves()).isNotEmpty().allMatch(m -> m.vm().equals("s1"));
        long before = fleet.moves().getLast().term();

        a.drain();
        addStandby("s2");
        long released = scheduler.now().toEpochMilli();
        for (int i = 0; i < 5; i++) {
            ask(b, JobRequest.Action.SUBMIT, "00000000000000a" + i);
        }
        pass(TAKE_TURNS_MILLIS + 1_000);

        List<SeenMove> after = fleet.moves().stream().filter(m -> m.term() > before).toList();
        assertThat(firstMove(after, "s2") - released).isLessThan(1_000);
        assertThat(firstMove(after, "s1") - released).isGreaterThanOrEqualTo(TAKE_TURNS_MILLIS);
    }

    @Test
    void aNewHolderDoesNotWaitForVmsThatWereMovedLongerAgo() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = runningNode("a");
        TaskNode b = runningNode("b");
        ask(b, JobRequest.Action.SUBMIT, JOB);
        pass(2_000 + TAKE_TURNS_MILLIS + TURN_MARGIN_MILLIS);
        long before = fleet.moves().getLast().term();

        a.drain();
        long released = scheduler.now().toEpochMilli();
        ask(b, JobRequest.Action.SUBMIT, "00000000000000a0");
        pass(TAKE_TURNS_MILLIS);

        List<SeenMove> after = fleet.moves().stream().filter(m -> m.term() > before).toList();
        assertThat(firstMove(after, "s1") - released).isLessThan(1_000);
    }

    private static long firstMove(List<SeenMove> moves, String vm) {
        return moves.stream()
                .filter(m -> m.vm().equals(vm))
                .mapToLong(SeenMove::atMillis)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void vmsAreNotOrderedWhileTheStoreDoesNotTakeWhichOnes() {
        addWorker("w1", 1_000);
        addStandby("s1");
        TaskNode a = runningNode("a");
        ask(a, JobRequest.Action.SUBMIT, JOB);
        store.setFault(StoreFault.DOWN);
        int before = fleet.moves().size();
        pass(1_000);
        assertThat(fleet.moves()).hasSize(before);
    }

    @Test
    void tasksOfACrashedWorkerStartElsewhereSoon() {
        MemoryWorker first = addWorker("w1", 3_000);
        node("a");
        pass(500);
        ask(nodes.get(0), JobRequest.Action.SUBMIT, JOB);
        pass(100);
        addWorker("w2", 3_000);
        pass(50);
        first.crash();
        pass(1_500);

        assertThat(fleet.starts()).filteredOn(s -> s.endsWith("@w2")).hasSize(3);
        assertThat(ask(nodes.get(0), JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobState.COMPLETED));
    }

    @Test
    void aCrashIsSeenInTheListAlthoughVmsInStandbyNameNoWorker() {
        addStandby("s1");
        tasksOfACrashedWorkerStartElsewhereSoon();
    }

    @Test
    void tasksOfASilentWorkerStartElsewhereOnlyAfterItsLease() {
        MemoryWorker first = addWorker("w1", 3_000);
        node("a");
        pass(500);
        ask(nodes.get(0), JobRequest.Action.SUBMIT, JOB);
        pass(100);
        addWorker("w2", 3_000);
        first.setSilent(true);
        pass(4_000);
        assertThat(fleet.starts()).hasSize(3);
        pass(1_500);
        assertThat(fleet.starts()).hasSize(6);
    }

    @Test
    void aForgottenHistoryIsReadWhole() {
        addWorker("w1", 10_000);
        TaskNode a = runningNode("a");
        store.setFault(StoreFault.FORGETFUL);
        pass(100);
        store.setFault(StoreFault.NONE);
        ask(a, JobRequest.Action.SUBMIT, JOB);
        pass(2_000);
        assertThat(ask(a, JobRequest.Action.READ, JOB))
                .isEqualTo(new JobAnswer.State(JobState.COMPLETED));
    }

    @Test
    void aManifestIsNeverFollowedByAnOlderOne() {
        TaskNode a = runningNode("a");
        configure(manifest(5, Set.of("new")));
        pass(500);
        configure(manifest(4, Set.of("key")));
        pass(500);
        assertThat(ask(a, JobRequest.Action.READ, JOB)).isInstanceOf(JobAnswer.KeyRefused.class);
    }

    @Test
    void isNotReadyWhileTheStoreTurnsItAway() {
        TaskNode a = node("a");
        assertThat(a.isReady()).isFalse();
        pass(500);
        assertThat(a.isReady()).isTrue();
        store.setFault(StoreFault.DOWN);
        pass(3_000);
        assertThat(a.isReady()).isFalse();
        store.setFault(StoreFault.NONE);
        pass(2_000);
        assertThat(a.isReady()).isTrue();
        a.drain();
        assertThat(a.isReady()).isFalse();
    }

    @Test
    void whileTheStoreIsSilentRequestsAreRefusedAtOnce() {
        TaskNode a = runningNode("a");
        store.setFault(StoreFault.SILENT);
        ask(a, JobRequest.Action.SUBMIT, JOB);

        long start = scheduler.now().toEpochMilli();
        assertThat(ask(a, JobRequest.Action.SUBMIT, "00000000000000aa"))
                .isInstanceOf(JobAnswer.Unavailable.class);
        assertThat(scheduler.now().toEpochMilli() - start).isLessThan(100);
        assertThat(a.isReady()).isFalse();

        store.setFault(StoreFault.NONE);
        pass(2_000);
        assertThat(a.isReady()).isTrue();
        assertThat(ask(a, JobRequest.Action.READ, "00000000000000aa"))
                .isInstanceOf(JobAnswer.NoSuchJob.class);
    }
}
