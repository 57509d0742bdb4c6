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
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.FleetTimes;
import org.chervillift.standin.tasks.MemoryFleet;
import org.chervillift.standin.tasks.MemoryStore;
import org.chervillift.standin.tasks.MemoryWorker;

/** Nodes on a store and a fleet in memory, in virtual time. */
abstract class TaskNodeFixture {

    static final String POOL = "proofs";
    static final String STANDBY = "spare";
    static final long TAKE_TURNS_MILLIS = 3_000;
    static final long TURN_MARGIN_MILLIS = 1_000;
    static final String JOB = "5c0e7a21d94b36f8";
    static final Duration RUN_TIME = Duration.ofMillis(500);
    static final double LINK_MBPS = 1_000;
    static final HostPort ANY = new HostPort("127.0.0.1", 0);

    final ManualScheduler scheduler = new ManualScheduler();
    final MemoryStore store = new MemoryStore(scheduler);
    final MemoryFleet fleet =
            new MemoryFleet(
                    scheduler,
                    store,
                    FleetRowWriter::worker,
                    new FleetTimes(RUN_TIME, Duration.ofSeconds(2), Duration.ofSeconds(2)),
                    Set.of(STANDBY));
    final List<TaskNode> nodes = new ArrayList<>();

    TaskNodeFixture() {
        scheduler.advance(Duration.ofSeconds(1_000));
        configure(manifest(1, Set.of("key")));
        fleet.holdMoves(true);
    }

    void configure(Manifest manifest) {
        Write write = FleetRowWriter.configuration(manifest);
        store.put(write.key(), write.value().orElseThrow());
    }

    MemoryWorker addWorker(String id, long milliCores) {
        fleet.add(entry(id, "vm-" + id, POOL, milliCores));
        return fleet.worker(id);
    }

    void addStandby(String vm) {
        fleet.add(entry(vm + "-worker", vm, STANDBY, 1_000));
    }

    static WorkerEntry entry(String id, String vm, String pool, long milliCores) {
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

    static Manifest manifest(long version, Set<String> keys) {
        QueuePolicy policy = new QueuePolicy("quick", POOL, 0, 2, 1.6, 600, false);
        return Manifest.of(
                version,
                List.of(new QueueRoute("h.example", "/q/", false, policy)),
                List.of(new PoolPolicy(POOL, true, false), new PoolPolicy(STANDBY, true, true)),
                List.of(new Customer("distiller", keys, 1, Resources.NONE)),
                10_000);
    }

    TaskNode node(String vm) {
        return node(vm, store);
    }

    TaskNode node(String vm, RowStore view) {
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
                        Duration.ofMillis(TAKE_TURNS_MILLIS),
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
                                view,
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
    TaskNode runningNode(String vm) {
        TaskNode node = node(vm);
        pass(500);
        return node;
    }

    static JobRequest request(JobRequest.Action action, String id, String key, int count) {
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

    JobAnswer ask(TaskNode node, JobRequest.Action action, String id) {
        return await(node.answer(request(action, id, "key", 3)));
    }

    JobAnswer await(CompletionStage<JobAnswer> stage) {
        for (int i = 0; i < 300 && !stage.toCompletableFuture().isDone(); i++) {
            scheduler.advance(Duration.ofMillis(10));
        }
        return stage.toCompletableFuture().join();
    }

    void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }
}
