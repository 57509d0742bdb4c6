package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.WorkerLoad;
import org.chervillift.core.tasks.vms.FleetWavePlanner;
import org.chervillift.core.tasks.vms.GoneVmDetector;
import org.chervillift.core.tasks.vms.PoolPlanner;
import org.chervillift.core.tasks.vms.PoolPlanner.Move;
import org.chervillift.core.tasks.vms.VmView;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Lists the VMs, and gives the orders for them that the waves and the pools need. */
final class VmOperator {

    private static final Duration ROUND = Duration.ofMillis(300);
    private static final Duration SURGE_ROUND = Duration.ofMillis(100);
    private static final long UNSEEN_WORKER_MILLIS = 1_500;

    private final HolderContext context;
    private final TaskScheduler board;
    private final ManifestKeeper manifests;
    private final WaveKeeper waves;
    private final HomeSizes homes;
    private final VmTurns turns;
    private final VmOrders orders;
    private final GoneVmDetector goneVms;
    private final Set<String> cordoned = new HashSet<>();
    private final Map<String, ListedFleetVm> lastListed = new HashMap<>();
    private final Set<String> everListed = new HashSet<>();
    private final Map<String, Long> missingSince = new HashMap<>();
    private PoolPlanner planner;
    private boolean stopped;

    VmOperator(HolderContext context, TaskScheduler board, ManifestKeeper manifests) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.manifests = Checks.notNull("manifests", manifests);
        this.waves = new WaveKeeper(context);
        this.homes = new HomeSizes(context);
        this.turns = new VmTurns(context);
        this.orders = new VmOrders(context, turns);
        Duration longestChange = context.settings().maintenance().plus(context.settings().move());
        this.goneVms = new GoneVmDetector(longestChange.toMillis());
    }

    /** Reads what an earlier holder stored. */
    void load() {
        waves.load();
        homes.load();
        turns.load();
    }

    /** Begins to decide. */
    void start() {
        round();
    }

    void stop() {
        stopped = true;
        waves.stop();
        homes.stop();
        turns.stop();
    }

    private void round() {
        if (stopped) {
            return;
        }
        long sentAt = context.now();
        context.vms()
                .list()
                .whenComplete(
                        (vms, fault) -> {
                            if (stopped) {
                                return;
                            }
                            // A list without any VM says nothing of the fleet.
                            boolean listed = fault == null && !vms.isEmpty() && waves.isLoaded();
                            if (listed) {
                                note(vms, sentAt);
                            }
                            Map<String, PoolLoad> loads = board.poolLoads(context.now());
                            if (listed) {
                                decide(vms, loads);
                            }
                            boolean surge =
                                    loads.values().stream().anyMatch(PoolLoad::isShortOfCapacity);
                            context.scheduler().schedule(surge ? SURGE_ROUND : ROUND, this::round);
                        });
    }

    /** Takes in what a list shows, before anything is decided by it. */
    private void note(List<ListedFleetVm> listed, long listedAt) {
        homes.offer(listed);
        orders.settle(listed, listedAt);
        listed.forEach(this::noteStatus);
        noteLifetimes(listed, context.now());
    }

    private void decide(List<ListedFleetVm> listed, Map<String, PoolLoad> loads) {
        long now = context.now();
        List<FleetWavePlanner.Progress> open = waves.open(manifests.waves().values(), now);
        Set<String> gone = goneVms.applyList(vmsOf(open), names(listed), now);
        if (!orders.isOpen()) {
            return;
        }
        Map<String, VmView> views = new TreeMap<>();
        listed.forEach(vm -> views.put(vm.name(), view(vm)));
        Round round = new Round(views, loads, standbyPools(), gone, now);
        Set<String> emptying = planWaves(open, round);
        planMoves(round, emptying);
        orders.flush();
    }

    /**
     * What one round of decisions goes by.
     *
     * @param views the VMs by name
     * @param loads the load of the pools by name
     * @param standby the pools whose VMs are off
     * @param gone the VMs of open waves that do not exist any more
     * @param now the present time, in milliseconds
     */
    private record Round(
            Map<String, VmView> views,
            Map<String, PoolLoad> loads,
            Set<String> standby,
            Set<String> gone,
            long now) {}

    private static Set<String> vmsOf(List<FleetWavePlanner.Progress> open) {
        return open.stream().flatMap(w -> w.order().vms().stream()).collect(Collectors.toSet());
    }

    private static Set<String> names(List<ListedFleetVm> listed) {
        return listed.stream().map(ListedFleetVm::name).collect(Collectors.toSet());
    }

    /**
     * Returns whether a VM may be ordered now.
     *
     * <p>A new holder gives orders at once, but not for VMs that its predecessor may just have
     * ordered, and not for VMs whose workers have not told it yet what they run.
     */
    private boolean mayOrder(VmView view, Round round) {
        ListedFleetVm vm = view.vm();
        boolean known = round.standby().contains(vm.pool()) || board.hasReported(vm.worker());
        return turns.isWaitOver(round.now())
                || (known && !turns.isOthersTurn(vm.name(), round.now()));
    }

    /**
     * Notes the workers that no VM runs any more: each worker is one lifetime of a VM.
     *
     * <p>A worker that lists have shown counts as gone when two lists in a row do not show it. One
     * that no list has shown yet may be newer than the list, and gets more time. A list that names
     * no worker for a VM that is up says nothing, but for one in standby, which is off.
     */
    private void noteLifetimes(List<ListedFleetVm> listed, long now) {
        Set<String> standby = standbyPools();
        Set<String> running = new HashSet<>();
        for (ListedFleetVm vm : listed) {
            boolean off = standby.contains(vm.pool()) && vm.worker().isEmpty();
            if (vm.status() == Status.UP && !off) {
                running.add(vm.worker());
            }
        }
        if (running.isEmpty() || running.contains("")) {
            return;
        }
        everListed.addAll(running);
        Set<String> missing = new HashSet<>(board.workersInUse().keySet());
        missing.removeAll(running);
        missingSince.keySet().retainAll(missing);
        for (String worker : missing) {
            Long since = missingSince.putIfAbsent(worker, now);
            boolean confirmed = since != null;
            boolean known = everListed.contains(worker);
            if (confirmed && (known || now - since >= UNSEEN_WORKER_MILLIS)) {
                board.workerLifetimeEnded(worker);
            }
        }
    }

    private void noteStatus(ListedFleetVm vm) {
        ListedFleetVm before = lastListed.put(vm.name(), vm);
        if (before == null
                || (before.status() == vm.status() && before.worker().equals(vm.worker()))) {
            return;
        }
        EventLog.log(
                TaskEvent.VM_CHANGED,
                Field.of("vm", vm.name()),
                Field.of("pool", vm.pool()),
                Field.of("status", vm.status()),
                Field.of("worker", vm.worker()),
                Field.of("statusBefore", before.status()),
                Field.of("workerBefore", before.worker()));
    }

    private VmView view(ListedFleetVm vm) {
        WorkerLoad load =
                vm.worker().isEmpty() ? WorkerLoad.IDLE : board.loadOf(vm.worker(), context.now());
        return new VmView(vm, load, orders.openOrder(vm.name()));
    }

    private Set<String> planWaves(List<FleetWavePlanner.Progress> open, Round round) {
        Map<String, VmView> views = round.views();
        Set<String> emptying = new HashSet<>();
        FleetWavePlanner.Fleet fleet =
                new FleetWavePlanner.Fleet(
                        views,
                        round.loads(),
                        round.standby(),
                        round.gone(),
                        cordoned,
                        context.settings().maintenance().toMillis());
        for (FleetWavePlanner.Progress wave : open) {
            FleetWavePlanner.Decision decision = FleetWavePlanner.decide(wave, fleet, round.now());
            emptying.addAll(decision.drain());
            for (String vm : decision.maintain()) {
                emptying.add(vm);
                if (mayOrder(views.get(vm), round)) {
                    long number = wave.order().number();
                    orders.maintain(vm, number, () -> waves.maintained(number, vm));
                }
            }
            for (String vm : decision.drain()) {
                board.drain(views.get(vm).vm().worker(), decision.deadlineAtRisk(), round.now());
            }
            if (decision.completed()) {
                waves.completed(wave.order().number(), gone(wave, round));
            }
        }
        cordon(views, emptying);
        return emptying;
    }

    private static long gone(FleetWavePlanner.Progress wave, Round round) {
        return wave.order().vms().stream().filter(round.gone()::contains).count();
    }

    private void cordon(Map<String, VmView> views, Set<String> emptying) {
        for (VmView view : views.values()) {
            String name = view.vm().name();
            boolean wanted = emptying.contains(name) || orders.openOrder(name) != PendingOrder.NONE;
            if (!view.vm().worker().isEmpty()) {
                board.setCordoned(view.vm().worker(), wanted);
            }
            if (wanted) {
                cordoned.add(name);
            } else {
                cordoned.remove(name);
            }
        }
    }

    private void planMoves(Round round, Set<String> busy) {
        if (!homes.isKnown()) {
            return;
        }
        if (planner == null) {
            planner = new PoolPlanner(homes.sizes());
        }
        List<Move> moves =
                planner.decide(
                        round.views().values(),
                        round.loads(),
                        round.standby(),
                        v -> !busy.contains(v.vm().name()) && mayOrder(v, round),
                        round.now());
        for (Move move : moves) {
            String worker = round.views().get(move.vm()).vm().worker();
            board.setCordoned(worker, true);
            cordoned.add(move.vm());
            orders.move(move.vm(), move.from(), move.to());
        }
    }

    private Set<String> standbyPools() {
        Manifest manifest = manifests.manifest().orElseThrow();
        return manifest.pools().keySet().stream()
                .filter(manifest::isStandby)
                .collect(Collectors.toSet());
    }
}
