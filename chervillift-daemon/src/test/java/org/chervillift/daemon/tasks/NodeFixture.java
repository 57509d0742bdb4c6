package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Write;
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
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.FleetTimes;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryStore;

/** Nodes, a store and a fleet in virtual time. */
final class NodeFixture {

    static final String POOL = "proofs";
    static final String KEY = "key";
    static final long TAKE_TURNS_MILLIS = 3_000;
    static final QueuePolicy POLICY = new QueuePolicy("quick", POOL, 0, 2, 1.6, 600, false);
    private static final String HOST = "h.example";
    private static final Duration RUN_TIME = Duration.ofMillis(500);
    private static final Duration MAINTENANCE = Duration.ofSeconds(2);
    private static final double LINK_MBPS = 1_000;
    private static final HostPort ANY = new HostPort("127.0.0.1", 0);

    final ManualScheduler scheduler = new ManualScheduler();
    final MemoryStore store = new MemoryStore(scheduler);
    final LateStore late = new LateStore(store);
    final MemoryFleet fleet;
    final List<TaskNode> started = new ArrayList<>();
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

    /** Returns a configuration of one queue, its pool and those in standby. */
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

    private void put(Write write) {
        store.put(write.key(), write.value().orElseThrow());
    }

    void orderWave(WaveOrder order) {
        put(FleetRowWriter.waveOrderWrite(order));
    }

    /** Adds a VM of the pool; its worker has the same name and a prefix. */
    void addVm(String name) {
        addWorker("w-" + name, name, POOL, 10_000);
    }

    void addWorker(String id, String vm, String pool, long milliCores) {
        fleet.add(
                new WorkerEntry(
                        id,
                        1,
                        vm,
                        pool,
                        "127.0.0.1:1",
                        "dc",
                        false,
                        0,
                        new Resources(milliCores, 100_000, 0),
                        List.of("a", "rack-1")));
    }

    /** Starts a node, and lets it read the store and find or become the holder. */
    TaskNode runningNode(String vm) {
        return runningNode(vm, late);
    }

    /** Starts a node with a way of its own to the store. */
    TaskNode runningNode(String vm, RowStore access) {
        TaskNode node = start(vm, access);
        pass(500);
        return node;
    }

    TaskNode start(String vm, RowStore access) {
        return start(settings(vm, LINK_MBPS), access, vm + "/" + started.size());
    }

    TaskNode start(FleetSettings settings, RowStore access, String process) {
        TaskNode.Ports ports =
                new TaskNode.Ports(
                        access,
                        new FleetRowCodec(),
                        w -> fleet.worker(w.id()),
                        fleet,
                        Optional.empty());
        TaskNode node = new TaskNode(settings, scheduler, ports, process);
        started.add(node);
        node.start();
        return node;
    }

    static FleetSettings settings(String vm, double linkMbps) {
        return new FleetSettings(
                vm,
                "dc",
                linkMbps,
                ANY,
                ANY,
                ANY,
                ANY,
                ANY,
                Optional.empty(),
                Duration.ofSeconds(6),
                Duration.ofMillis(400),
                Duration.ofMillis(TAKE_TURNS_MILLIS),
                MAINTENANCE,
                Duration.ofSeconds(2),
                Duration.ofSeconds(3),
                Duration.ofSeconds(120),
                Duration.ofSeconds(6));
    }

    /** Returns a job of one step with so many tasks. */
    static JobSpec spec(String id, String payload, int count) {
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
        return new JobSpec(id, payload, List.of(step), Schedule.ONCE);
    }

    static JobRequest request(JobRequest.Action action, String id, String key, int count) {
        return new JobRequest(
                action, HOST, "/q/" + id, Optional.ofNullable(key), i -> spec(i, "payload", count));
    }

    /** Asks about a job of one task. */
    JobAnswer ask(TaskNode node, JobRequest.Action action, String id) {
        return await(node.answer(request(action, id, KEY, 1)));
    }

    JobAnswer await(CompletionStage<JobAnswer> stage) {
        for (int i = 0; i < 300 && !stage.toCompletableFuture().isDone(); i++) {
            pass(10);
        }
        return stage.toCompletableFuture().join();
    }

    void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    /** Returns what the operator reads of a wave. */
    String waveStatus(long wave) {
        return store.value(new FleetRowCodec().waveStatusKey(wave)).orElse("");
    }
}
