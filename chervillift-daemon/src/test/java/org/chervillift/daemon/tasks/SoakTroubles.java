package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.standin.tasks.MemoryStore;
import org.chervillift.standin.tasks.StoreFault;

/** Random troubles of all parts, several at once. */
final class SoakTroubles {

    private static final double TROUBLES_PER_SECOND = 1.5;
    private static final int MIN_MILLIS = 300;
    private static final int MAX_MILLIS = 5_000;

    /** Some evacuations are longer than the bound after which no task may start. */
    private static final int MAX_EVACUATION_MILLIS = 15_000;

    private static final int MAX_NODES = 6;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final long RECONFIGURE_MILLIS = 2_000;
    private static final double SLOW_STORE_CLOCK = 0.995;

    private final SoakWorld world;
    private final Random random;
    private final List<Kind> kinds;
    private final List<String> history = new ArrayList<>();
    private final Map<String, Integer> evacuations = new HashMap<>();
    private int active;
    private long lastAt;
    private long nextConfigurationAt;
    private long waves;
    private long replacements;

    /** A kind of trouble. */
    enum Kind {
        STORE_SLOW,
        STORE_DOWN,
        STORE_SILENT,
        REPLIES_LOST,
        HISTORY_LOST,
        LINK,
        WORKER_SILENT,
        WORKER_SLOW,
        WORKER_RESETTING,
        LATE_ORDERS,
        WORKER_FAILING,
        WORKER_DRAINING,
        WORKER_SHRINKING,
        WORKER_RESTARTED,
        WORKER_REPLACED,
        NODE_KILLED,
        NODE_PAUSED,
        NODE_DRAINED,
        NODE_DOUBLED,
        WAVE,
        STORE_CLOCK_ANEW,
        STORE_CLOCK_SLOW,
        CALLS_THROW,
        CALLS_HANG,
        NULL_ANSWERS,
        EVACUATION,
        VM_LISTS_SLOW
    }

    SoakTroubles(SoakWorld world, Set<Kind> kinds) {
        this.world = world;
        this.random = world.random;
        this.kinds = kinds.stream().sorted().toList();
    }

    /** Returns how long there has been no trouble, in milliseconds. */
    long calmMillis() {
        return active > 0 ? 0 : world.now() - lastAt;
    }

    List<String> history() {
        return history;
    }

    /** Begins the troubles of a short time; all of them end before a given time. */
    void step(int millis, long endsAt) {
        if (world.now() >= nextConfigurationAt) {
            nextConfigurationAt = world.now() + RECONFIGURE_MILLIS;
            reconfigure();
        }
        double due = TROUBLES_PER_SECOND * millis / MILLIS_PER_SECOND;
        long left = endsAt - world.now();
        if (random.nextDouble() < due && left > MIN_MILLIS) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            int most = kind == Kind.EVACUATION ? MAX_EVACUATION_MILLIS : MAX_MILLIS;
            int longest = (int) Math.min(left, most);
            begin(kind, MIN_MILLIS + random.nextInt(longest - MIN_MILLIS + 1));
        }
    }

    private void begin(Kind kind, int millis) {
        history.add(world.now() + " " + kind + " " + millis);
        Runnable end = apply(kind, millis);
        active++;
        world.base.schedule(
                Duration.ofMillis(millis),
                () -> {
                    end.run();
                    active--;
                    lastAt = world.now();
                });
    }

    private Runnable apply(Kind kind, int millis) {
        return switch (kind) {
            case STORE_SLOW -> {
                world.store.setLatency(Duration.ofMillis(30 + random.nextInt(400)));
                yield () -> world.store.setLatency(MemoryStore.LATENCY);
            }
            case STORE_DOWN -> storeFault(StoreFault.DOWN);
            case STORE_SILENT -> storeFault(StoreFault.SILENT);
            case REPLIES_LOST -> storeFault(StoreFault.LOSE_REPLIES);
            case HISTORY_LOST -> storeFault(StoreFault.FORGETFUL);
            case LINK -> link(randomLinkFault());
            case CALLS_THROW -> link(SoakLink.Fault.CALLS_THROW);
            case CALLS_HANG -> link(SoakLink.Fault.CALLS_HANG);
            case NULL_ANSWERS -> link(SoakLink.Fault.NULL_ANSWERS);
            case EVACUATION -> evacuation();
            case VM_LISTS_SLOW -> link(SoakLink.Fault.VM_LISTS_SLOW);
            case WORKER_SILENT -> mode(SoakMode.SILENT);
            case WORKER_SLOW -> mode(SoakMode.SLOW);
            case WORKER_RESETTING -> mode(SoakMode.RESETTING);
            case LATE_ORDERS -> mode(SoakMode.LATE);
            case WORKER_FAILING -> failing();
            case WORKER_DRAINING -> draining(millis);
            case WORKER_SHRINKING -> shrinking();
            case WORKER_RESTARTED -> crash(millis, true);
            case WORKER_REPLACED -> crash(millis, false);
            case NODE_KILLED -> killNode();
            case NODE_PAUSED -> pauseNode();
            case NODE_DRAINED -> drainNode();
            case NODE_DOUBLED -> doubleNode();
            case WAVE -> wave();
            case STORE_CLOCK_ANEW -> {
                world.storeClock.restart();
                yield () -> {};
            }
            case STORE_CLOCK_SLOW -> {
                world.storeClock.rate(SLOW_STORE_CLOCK);
                yield () -> world.storeClock.rate(1);
            }
        };
    }

    private SoakLink.Fault randomLinkFault() {
        SoakLink.Fault[] all = SoakLink.Fault.values();
        return all[random.nextInt(SoakLink.Fault.CALLS_THROW.ordinal())];
    }

    private Runnable storeFault(StoreFault fault) {
        world.store.setFault(fault);
        return () -> world.store.setFault(StoreFault.NONE);
    }

    private Runnable link(SoakLink.Fault fault) {
        List<SoakWorld.Node> nodes = world.awakeNodes();
        if (nodes.isEmpty()) {
            return () -> {};
        }
        SoakLink link = nodes.get(random.nextInt(nodes.size())).link();
        link.set(fault, true);
        return () -> link.set(fault, false);
    }

    /** Lets between one worker and all of them answer in another way. */
    private Runnable mode(SoakMode mode) {
        List<SoakWorker> chosen = someWorkers();
        chosen.forEach(w -> w.mode(mode));
        return () -> chosen.forEach(w -> w.mode(SoakMode.NORMAL));
    }

    private List<SoakWorker> someWorkers() {
        List<SoakWorker> all = world.fleet.liveWorkers();
        double share = random.nextInt(4) == 0 ? 1 : random.nextDouble() / 2;
        return all.stream().filter(w -> random.nextDouble() < share).toList();
    }

    private Runnable failing() {
        List<SoakWorker> all = world.fleet.liveWorkers();
        if (all.isEmpty()) {
            return () -> {};
        }
        SoakWorker worker = all.get(random.nextInt(all.size()));
        worker.failing(true);
        return () -> worker.failing(false);
    }

    private Runnable draining(int millis) {
        return someVm(
                vm -> {
                    SoakWorker worker = vm.worker.orElseThrow();
                    register(worker, entry(worker, true, worker.entry().capacity()));
                    return () -> {
                        if (vm.worker.filter(w -> w == worker).isPresent()) {
                            world.fleet.crash(vm, Duration.ofMillis(millis / 2), false);
                        }
                    };
                });
    }

    private Runnable shrinking() {
        return someVm(
                vm -> {
                    SoakWorker worker = vm.worker.orElseThrow();
                    Resources full = vm.capacity;
                    Resources small = new Resources(full.milliCores() / 4, full.memoryMb(), 0);
                    register(worker, entry(worker, worker.entry().draining(), small));
                    return () -> register(worker, entry(worker, worker.entry().draining(), full));
                });
    }

    private Runnable crash(int millis, boolean sameId) {
        return someVm(
                vm -> {
                    world.fleet.crash(vm, Duration.ofMillis(Math.max(1, millis - 1)), sameId);
                    return () -> {};
                });
    }

    private interface VmTrouble {
        Runnable begin(SoakFleet.SoakVm vm);
    }

    private Runnable someVm(VmTrouble trouble) {
        List<SoakFleet.SoakVm> up =
                world.fleet.vms().values().stream()
                        .filter(v -> v.status == Status.UP && v.worker.isPresent())
                        .toList();
        return up.isEmpty() ? () -> {} : trouble.begin(up.get(random.nextInt(up.size())));
    }

    private void register(SoakWorker worker, WorkerEntry entry) {
        if (!worker.isCrashed()) {
            worker.entry(entry);
            world.fleet.register(worker);
        }
    }

    private static WorkerEntry entry(SoakWorker worker, boolean draining, Resources capacity) {
        WorkerEntry e = worker.entry();
        return new WorkerEntry(
                e.id(),
                e.bornAtMillis(),
                e.vm(),
                e.pool(),
                e.address(),
                e.dataCentre(),
                draining,
                draining ? 500 : 0,
                capacity,
                e.labels());
    }

    private SoakWorld.Node someNode() {
        List<SoakWorld.Node> nodes = world.awakeNodes();
        return nodes.isEmpty() ? null : nodes.get(random.nextInt(nodes.size()));
    }

    private Runnable killNode() {
        SoakWorld.Node node = someNode();
        if (node == null) {
            return () -> {};
        }
        node.process().kill();
        world.nodes.remove(node);
        return () -> world.startNode(node.vm());
    }

    private Runnable pauseNode() {
        SoakWorld.Node node = someNode();
        if (node == null) {
            return () -> {};
        }
        node.process().pause();
        return () -> node.process().resume();
    }

    private Runnable drainNode() {
        SoakWorld.Node node = someNode();
        if (node == null || world.nodes.size() > MAX_NODES) {
            return () -> {};
        }
        node.node().drain();
        replacements++;
        world.startNode("replacement-" + replacements);
        return () -> {
            node.process().kill();
            world.nodes.remove(node);
        };
    }

    /** Starts a second process of the same VM, and ends the first one later. */
    private Runnable doubleNode() {
        SoakWorld.Node node = someNode();
        if (node == null || world.nodes.size() > MAX_NODES) {
            return () -> {};
        }
        world.startNode(node.vm());
        return () -> {
            node.process().kill();
            world.nodes.remove(node);
        };
    }

    private Runnable wave() {
        waves++;
        List<String> vms =
                world.fleet.vms().values().stream()
                        .filter(v -> random.nextInt(3) == 0)
                        .map(v -> v.name)
                        .toList();
        if (!vms.isEmpty()) {
            var write =
                    FleetRowWriter.waveOrderWrite(
                            new WaveOrder(waves, vms, 20_000, 1 + random.nextInt(3)));
            world.store.put(write.key(), write.value().orElseThrow());
        }
        return () -> {};
    }

    /** Evacuates a data centre; the last of several for the same one ends it. */
    private Runnable evacuation() {
        int chosen = random.nextInt(SoakFleet.DATA_CENTRES.size());
        String dataCentre = SoakFleet.DATA_CENTRES.get(chosen);
        evacuations.merge(dataCentre, 1, Integer::sum);
        world.fleet.evacuate(dataCentre);
        return () -> {
            if (evacuations.merge(dataCentre, -1, Integer::sum) == 0) {
                world.fleet.endEvacuation(dataCentre);
            }
        };
    }

    private void reconfigure() {
        lastAt = world.now();
        String queue = "q" + random.nextInt(SoakWorld.HOME_POOLS.size());
        switch (random.nextInt(4)) {
            case 0 ->
                    world.poolByQueue.put(
                            queue, SoakWorld.POOLS.get(random.nextInt(SoakWorld.POOLS.size())));
            case 1 -> world.removedQueues.add(queue);
            case 2 -> world.limitFactor = 0.25 + random.nextInt(4) / 2.0;
            default -> restoreConfiguration();
        }
        world.configure();
    }

    /** Puts the first configuration again. */
    void restoreConfiguration() {
        world.poolByQueue.putAll(SoakWorld.HOME_POOLS);
        world.removedQueues.clear();
        world.limitFactor = 1;
        world.configure();
    }
}
