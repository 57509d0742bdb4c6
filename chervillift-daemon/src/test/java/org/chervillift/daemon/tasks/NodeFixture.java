package org.chervillift.daemon.tasks;

import java.time.Duration;
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
    static final Duration MAINTENANCE = Duration.ofSeconds(2);
    private static final Duration RUN_TIME = Duration.ofMillis(500);
    private static final double LINK_MBPS = 1_000;
    private static final HostPort ANY = new HostPort("127.0.0.1", 0);

    final ManualScheduler scheduler = new ManualScheduler();
    final MemoryStore store = new MemoryStore(scheduler);
    final LateStore late = new LateStore(store);
    final MemoryFleet fleet =
            new MemoryFleet(
                    scheduler,
                    store,
                    FleetRowWriter::worker,
                    new FleetTimes(RUN_TIME, Duration.ofSeconds(2), MAINTENANCE),
                    Set.of());
    private int nodes;

    NodeFixture() {
        scheduler.advance(Duration.ofSeconds(1_000));
        put(FleetRowWriter.configuration(manifest()));
    }

    private static Manifest manifest() {
        QueuePolicy policy = new QueuePolicy("quick", POOL, 0, 2, 1.6, 600, false);
        return Manifest.of(
                1,
                List.of(new QueueRoute("h.example", "/q/", false, policy)),
                List.of(new PoolPolicy(POOL, true, false)),
                List.of(new Customer("distiller", Set.of(KEY), 1, Resources.NONE)),
                10_000);
    }

    private void put(Write write) {
        store.put(write.key(), write.value().orElseThrow());
    }

    void orderWave(WaveOrder order) {
        put(FleetRowWriter.wave(order));
    }

    /** Adds a VM of the pool; its worker has the same name and a prefix. */
    void addVm(String name) {
        fleet.add(
                new WorkerEntry(
                        "w-" + name,
                        1,
                        name,
                        POOL,
                        "127.0.0.1:1",
                        "dc",
                        false,
                        0,
                        new Resources(10_000, 100_000, 0),
                        List.of("a", "rack-1")));
    }

    /** Starts a node, and lets it read the store and find or become the holder. */
    TaskNode runningNode(String vm) {
        return runningNode(vm, late);
    }

    /** Starts a node with a way of its own to the store. */
    TaskNode runningNode(String vm, RowStore access) {
        FleetSettings settings =
                new FleetSettings(
                        vm,
                        "dc",
                        LINK_MBPS,
                        ANY,
                        ANY,
                        ANY,
                        ANY,
                        ANY,
                        Optional.empty(),
                        Duration.ofSeconds(6),
                        Duration.ofMillis(400),
                        Duration.ofSeconds(3),
                        MAINTENANCE,
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(3),
                        Duration.ofSeconds(120),
                        Duration.ofSeconds(6));
        TaskNode.Ports ports =
                new TaskNode.Ports(
                        access,
                        new FleetRowCodec(),
                        w -> fleet.worker(w.id()),
                        fleet,
                        Optional.empty());
        TaskNode node = new TaskNode(settings, scheduler, ports, vm + "/" + nodes++);
        node.start();
        pass(500);
        return node;
    }

    JobAnswer ask(TaskNode node, JobRequest.Action action, String id) {
        StepSpec step =
                new StepSpec(
                        1,
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
        CompletionStage<JobAnswer> answer =
                node.answer(
                        new JobRequest(
                                action,
                                "h.example",
                                "/q/" + id,
                                Optional.of(KEY),
                                i -> new JobSpec(i, "payload", List.of(step), Schedule.ONCE)));
        for (int i = 0; i < 300 && !answer.toCompletableFuture().isDone(); i++) {
            pass(10);
        }
        return answer.toCompletableFuture().join();
    }

    void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    /** Returns what the operator reads of a wave. */
    String waveStatus(long wave) {
        return store.value(new FleetRowCodec().waveStatusKey(wave)).orElse("");
    }
}
