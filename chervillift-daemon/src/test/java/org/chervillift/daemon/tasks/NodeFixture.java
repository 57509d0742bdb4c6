package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.vms.PoolSettings;
import org.chervillift.daemon.tasks.relay.PeerCalls;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.FleetTimes;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryStore;

/** Runs nodes with an in-memory store and fleet in virtual time. */
final class NodeFixture {

    static final String POOL = "proofs";
    static final String KEY = "key";
    static final long HANDOVER_DELAY_MILLIS = 3_000;
    static final QueuePolicy POLICY = new QueuePolicy("quick", POOL, 0, 2, 1.6, 600, false);
    private static final String HOST = "h.example";
    private static final Duration RUN_TIME = Duration.ofMillis(500);
    private static final Duration MAINTENANCE = Duration.ofSeconds(2);
    private static final double LINK_MBPS = 1_000;
    static final int MAX_ROW_BYTES = 65_536;

    /** Fails a test in which a request is relayed although no address for peers is set. */
    static final PeerCalls NO_PEERS =
            (address, request) -> {
                throw new AssertionError("relayed to " + address);
            };

    private static final HostPort ANY_ADDRESS = new HostPort("127.0.0.1", 0);

    final ManualScheduler scheduler = new ManualScheduler();
    final MemoryStore store = new MemoryStore(scheduler);
    final DelayingStore delayingStore = new DelayingStore(store);
    final MemoryFleet fleet;
    final List<TaskNode> startedNodes = new ArrayList<>();
    private final Set<String> standbyPools;

    NodeFixture(String... standbyPools) {
        this.standbyPools = Set.of(standbyPools);
        fleet =
                new MemoryFleet(
                        scheduler,
                        store,
                        FleetRowWriter::workerWrite,
                        new FleetTimes(RUN_TIME, Duration.ofSeconds(2), MAINTENANCE),
                        this.standbyPools);
        scheduler.advance(Duration.ofSeconds(1_000));
        configure(manifest(1, Set.of(KEY)));
    }

    /** Returns a manifest with one queue, its pool and the standby pools. */
    Manifest manifest(long version, Set<String> keys) {
        List<PoolPolicy> pools = new ArrayList<>();
        pools.add(new PoolPolicy(POOL, true, false));
        standbyPools.forEach(p -> pools.add(new PoolPolicy(p, true, true)));
        return Manifest.of(
                version,
                List.of(new QueueRoute(HOST, "/q/", false, POLICY)),
                pools,
                List.of(new Customer("distiller", keys, 1, Resources.NONE)),
                10_000);
    }

    void configure(Manifest manifest) {
        put(FleetRowWriter.configurationWrite(manifest));
    }

    /** Removes the operator's configuration. */
    void removeConfiguration() {
        store.delete(FleetRowWriter.configurationWrite(manifest(1, Set.of(KEY))).key());
    }

    private void put(Write write) {
        store.put(write.key(), write.value().orElseThrow());
    }

    void orderWave(WaveOrder order) {
        put(FleetRowWriter.waveOrderWrite(order));
    }

    /** Writes the operator's request to evacuate a data centre. */
    void evacuate(String dataCentre) {
        put(FleetRowWriter.evacuationWrite(dataCentre));
    }

    /** Withdraws the operator's request to evacuate a data centre. */
    void endEvacuation(String dataCentre) {
        store.delete(FleetRowWriter.evacuationWrite(dataCentre).key());
    }

    /** Adds a VM to the pool; its worker is named after it with the prefix {@code w-}. */
    void addVm(String name) {
        addWorker("w-" + name, name, POOL, 10_000);
    }

    void addWorker(String id, String vm, String pool, long milliCores) {
        addWorker(id, vm, pool, milliCores, "dc");
    }

    void addWorker(String id, String vm, String pool, long milliCores, String dataCentre) {
        fleet.add(
                new WorkerEntry(
                        id,
                        1,
                        vm,
                        pool,
                        "127.0.0.1:1",
                        dataCentre,
                        false,
                        0,
                        new Resources(milliCores, 100_000, 0),
                        List.of("a", "rack-1")));
    }

    /** Starts a node, and waits until it has read the store and found or become the holder. */
    TaskNode startNodeAndWait(String vm) {
        return startNodeAndWait(vm, delayingStore);
    }

    /** Starts a node that accesses the store through the given view, and waits likewise. */
    TaskNode startNodeAndWait(String vm, RowStore storeView) {
        TaskNode node = startNode(vm, storeView);
        advanceMillis(500);
        return node;
    }

    TaskNode startNode(String vm, RowStore storeView) {
        return startNode(settings(vm, LINK_MBPS), storeView, vm + "/" + startedNodes.size());
    }

    TaskNode startNode(FleetSettings settings, RowStore storeView, String process) {
        return startNode(settings, access(storeView), process);
    }

    private TaskNode.PlatformAccess access(RowStore storeView) {
        return new TaskNode.PlatformAccess(
                storeView, new FleetRowCodec(), this::connect, fleet, Optional.empty());
    }

    /** Starts a node whose calls to the platform may fail in ways that no interface allows. */
    TaskNode startNode(String vm, FaultyPlatform platform) {
        TaskNode.PlatformAccess ports =
                new TaskNode.PlatformAccess(
                        platform.store(delayingStore),
                        platform.rows(),
                        w -> platform.connect(() -> connect(w)),
                        platform.vms(fleet),
                        Optional.empty());
        return startNode(settings(vm, LINK_MBPS), ports, vm + "/" + startedNodes.size());
    }

    /** Starts a node that relays requests to other entry VMs. */
    TaskNode startNode(String vm, RowStore storeView, HostPort address, PeerCalls peerCalls) {
        return startNode(
                settings(vm, LINK_MBPS, Optional.of(address)),
                access(storeView),
                vm + "/" + startedNodes.size(),
                peerCalls);
    }

    private TaskNode startNode(
            FleetSettings settings, TaskNode.PlatformAccess ports, String process) {
        return startNode(settings, ports, process, NO_PEERS);
    }

    private TaskNode startNode(
            FleetSettings settings,
            TaskNode.PlatformAccess ports,
            String process,
            PeerCalls peerCalls) {
        TaskNode node = new TaskNode(settings, scheduler, ports, process, peerCalls);
        startedNodes.add(node);
        node.start();
        return node;
    }

    /** Connects to a worker; the address must be usable, as for a real connection. */
    private WorkerCalls connect(WorkerEntry worker) {
        HostPort.parse(worker.address());
        return fleet.worker(worker.id());
    }

    static FleetSettings settings(String vm, double linkMbps) {
        return settings(vm, linkMbps, 1, Duration.ZERO, PoolSettings.DEFAULT, Optional.empty());
    }

    static FleetSettings settings(String vm, double linkMbps, PoolSettings pools) {
        return settings(vm, linkMbps, 1, Duration.ZERO, pools, Optional.empty());
    }

    static FleetSettings settings(String vm, double linkMbps, Duration evacuateWithin) {
        return settings(vm, linkMbps, 1, evacuateWithin, PoolSettings.DEFAULT, Optional.empty());
    }

    static FleetSettings settings(String vm, double linkMbps, Optional<HostPort> peers) {
        return settings(vm, linkMbps, 1, Duration.ZERO, PoolSettings.DEFAULT, peers);
    }

    static FleetSettings settings(
            String vm,
            double linkMbps,
            double remoteFactor,
            Duration evacuateWithin,
            PoolSettings pools,
            Optional<HostPort> peers) {
        return new FleetSettings(
                vm,
                "dc",
                linkMbps,
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                peers,
                ANY_ADDRESS,
                MAX_ROW_BYTES,
                ANY_ADDRESS,
                Optional.empty(),
                Duration.ofSeconds(6),
                Duration.ofMillis(400),
                Duration.ofMillis(HANDOVER_DELAY_MILLIS),
                MAINTENANCE,
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                Duration.ofSeconds(120),
                remoteFactor,
                Duration.ofSeconds(6),
                evacuateWithin,
                pools);
    }

    /** Returns a job of one step with the given number of tasks. */
    static JobSpec spec(String id, String payload, int count) {
        return new JobSpec(id, payload, List.of(step(count, 1_000, false)), Schedule.ONCE);
    }

    static StepSpec step(int count, long milliCores, boolean gang) {
        return step(count, milliCores, List.of(), gang);
    }

    /** Returns a step that waits for others. */
    static StepSpec step(int count, long milliCores, List<Integer> after) {
        return step(count, milliCores, after, false);
    }

    private static StepSpec step(int count, long milliCores, List<Integer> after, boolean gang) {
        return new StepSpec(
                count,
                new Resources(milliCores, 100, 0),
                500,
                after,
                gang,
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
    }

    static JobRequest request(JobRequest.Action action, String id, String key, int count) {
        return new JobRequest(
                action, HOST, "/q/" + id, Optional.ofNullable(key), i -> spec(i, "payload", count));
    }

    /** Sends a request about a job of one task, and returns the answer. */
    JobAnswer ask(TaskNode node, JobRequest.Action action, String id) {
        return await(node.answer(request(action, id, KEY, 1)));
    }

    JobAnswer await(CompletionStage<JobAnswer> stage) {
        for (int i = 0; i < 300 && !stage.toCompletableFuture().isDone(); i++) {
            advanceMillis(10);
        }
        assertThat(stage.toCompletableFuture()).as("an answer within 3 s").isDone();
        return stage.toCompletableFuture().join();
    }

    void advanceMillis(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    /** Returns the wave status row that the operator reads, or an empty string. */
    String waveStatus(long wave) {
        return store.value(new FleetRowCodec().waveStatusKey(wave)).orElse("");
    }
}
