package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.core.tasks.vms.PoolSettings;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.MemoryStore;

/** Nodes, a store, a fleet and a configuration in virtual time, all from one seed. */
final class SoakWorld {

    static final String HOST = "h.example";
    static final int MAX_ATTEMPTS = 3;
    static final List<String> POOLS = List.of("p0", "p1", "p2");
    static final Map<String, String> HOME_POOLS =
            Map.of("q0", "p0", "q1", "p1", "q2", "p2", "q3", "p0");
    static final Resources WORKER_CAPACITY = new Resources(8_000, 32_000, 0);

    private static final Map<String, Long> LIMITS = Map.of("c0", 0L, "c1", 20_000L, "c2", 6_000L);
    private static final Duration START = Duration.ofSeconds(1_000);
    private static final double LINK_MBPS = 1_000;
    private static final int MIN_NODES = 3;
    private static final int MIN_WORKERS_PER_POOL = 4;
    private static final int STANDBY_VMS = 3;

    final ManualScheduler base = new ManualScheduler();
    final MemoryStore store = new MemoryStore(base);
    final Random random;
    final SoakFleet fleet;
    final double remoteFactor;
    final List<Node> nodes = new ArrayList<>();
    final List<Throwable> faults = new ArrayList<>();
    final SoakPeers peers;
    final Map<String, String> poolByQueue = new LinkedHashMap<>(HOME_POOLS);
    final Set<String> removedQueues = new TreeSet<>();
    final SoakStoreClock storeClock = new SoakStoreClock();
    double limitFactor = 1;
    private final Duration evacuateWithin;
    private long manifestVersion;
    private final boolean relaying;
    private int startedNodes;

    /** A process with its links. */
    record Node(String vm, SoakProcess process, SoakLink link, TaskNode node) {}

    SoakWorld(long seed) {
        this(seed, 1, Duration.ZERO, false);
    }

    /**
     * Creates a world.
     *
     * @param evacuateWithin the setting of all processes; zero if there are no evacuations
     */
    SoakWorld(long seed, Duration evacuateWithin) {
        this(seed, 1, evacuateWithin, false);
    }

    /** Returns a world whose processes relay requests to each other. */
    static SoakWorld withRelay(long seed) {
        return new SoakWorld(seed, 1, Duration.ZERO, true);
    }

    /**
     * Returns a world in which steps name racks and allow copies.
     *
     * @param remoteFactor how many times as long runs take away from the rack of their data
     */
    static SoakWorld withRacks(long seed, double remoteFactor) {
        return new SoakWorld(seed, remoteFactor, Duration.ZERO, false);
    }

    private SoakWorld(long seed, double remoteFactor, Duration evacuateWithin, boolean relaying) {
        this.remoteFactor = remoteFactor;
        this.evacuateWithin = evacuateWithin;
        this.relaying = relaying;
        random = new Random(seed);
        fleet = new SoakFleet(base, store, random, remoteFactor);
        peers = new SoakPeers(random, id -> fleet.job(id).spec());
        base.advance(START);
        for (String pool : POOLS) {
            int count = MIN_WORKERS_PER_POOL + random.nextInt(3);
            for (int i = 0; i < count; i++) {
                fleet.add(pool + "-" + i, pool, WORKER_CAPACITY);
            }
        }
        for (int i = 0; i < STANDBY_VMS; i++) {
            fleet.add("spare-" + i, SoakFleet.STANDBY_POOL, WORKER_CAPACITY);
        }
        configure();
        fleet.sendHeartbeats();
        int count = MIN_NODES + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            startNode("vm-" + i);
        }
    }

    long now() {
        return base.now().toEpochMilli();
    }

    /** Puts the configuration as it is set now. */
    void configure() {
        manifestVersion++;
        List<QueueRoute> routes = new ArrayList<>();
        poolByQueue.forEach(
                (queue, pool) -> {
                    if (!removedQueues.contains(queue)) {
                        routes.add(new QueueRoute(HOST, "/" + queue + "/", false, policy(queue)));
                    }
                });
        List<PoolPolicy> pools = new ArrayList<>();
        POOLS.forEach(p -> pools.add(new PoolPolicy(p, true, false)));
        pools.add(new PoolPolicy(SoakFleet.STANDBY_POOL, true, true));
        List<Customer> customers = new ArrayList<>();
        LIMITS.forEach((c, l) -> customers.add(new Customer(c, Set.of("k" + c), 1, limit(c))));
        var write =
                FleetRowWriter.configurationWrite(
                        Manifest.of(manifestVersion, routes, pools, customers, 10_000));
        store.put(write.key(), write.value().orElseThrow());
    }

    private QueuePolicy policy(String queue) {
        int priority = queue.equals("q3") ? 1 : 0;
        return new QueuePolicy(
                queue, poolByQueue.get(queue), priority, MAX_ATTEMPTS, 1.6, 600, false);
    }

    Resources limit(String customer) {
        return new Resources(Math.round(LIMITS.get(customer) * limitFactor), 0, 0);
    }

    void startNode(String vm) {
        SoakProcess process = new SoakProcess(base, random, faults::add);
        SoakLink link = new SoakLink(store, process, storeClock::convert);
        TaskNode.PlatformAccess ports =
                new TaskNode.PlatformAccess(
                        link,
                        new FleetRowCodec(),
                        w -> new SoakWorkerCalls(link, fleet, base, random, w),
                        new SoakVms(link, fleet, base, random),
                        Optional.empty());
        startedNodes++;
        TaskNode node =
                new TaskNode(
                        NodeFixture.settings(
                                vm,
                                LINK_MBPS,
                                remoteFactor,
                                evacuateWithin,
                                PoolSettings.DEFAULT,
                                peerAddress()),
                        process,
                        ports,
                        vm + "/" + startedNodes,
                        peers.callsOf(process));
        peers.add(startedNodes, process, node);
        nodes.add(new Node(vm, process, link, node));
        node.start();
    }

    private Optional<HostPort> peerAddress() {
        return relaying ? Optional.of(SoakPeers.addressOf(startedNodes)) : Optional.empty();
    }

    List<Node> awakeNodes() {
        return nodes.stream().filter(n -> n.process().isAwake()).toList();
    }
}
