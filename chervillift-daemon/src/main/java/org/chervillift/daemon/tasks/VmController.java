package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.core.tasks.EndedWorkerDetector;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.WorkerLoad;
import org.chervillift.core.tasks.vms.DrainReserve;
import org.chervillift.core.tasks.vms.EvacuatedVms;
import org.chervillift.core.tasks.vms.FleetWavePlanner;
import org.chervillift.core.tasks.vms.GoneVmDetector;
import org.chervillift.core.tasks.vms.PoolPlanner;
import org.chervillift.core.tasks.vms.PoolPlanner.Move;
import org.chervillift.core.tasks.vms.SurgeForecast;
import org.chervillift.core.tasks.vms.VmList;
import org.chervillift.core.tasks.vms.VmView;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Lists the VMs periodically, and orders moves between pools and maintenance for them. */
final class VmController {

    private static final Duration ROUND_INTERVAL = Duration.ofMillis(300);
    private static final Duration SURGE_ROUND_INTERVAL = Duration.ofMillis(100);

    private final HolderContext context;
    private final TaskScheduler board;
    private final ManifestTracker manifests;
    private final WaveProgressStore waveProgress;
    private final InitialPoolSizes initialPoolSizes;
    private final SurgeRateStore surgeRates;
    private final RecentVmOrders recentOrders;
    private final VmOrderSender orders;
    private final GoneVmDetector goneVms;
    private final EndedWorkerDetector endedWorkers = new EndedWorkerDetector();
    private final Consumer<String> askWorker;
    private final Set<String> cordoned = new HashSet<>();
    private final Map<String, ListedFleetVm> lastListed = new HashMap<>();
    private PoolPlanner planner;
    private SurgeForecast surges;
    private Map<String, String> cordonedForPredecessor = Map.of();
    private boolean stopped;

    /**
     * Creates a controller that has not listed the VMs yet.
     *
     * @param askWorker asks a worker for a report at once
     */
    VmController(
            HolderContext context,
            TaskScheduler board,
            ManifestTracker manifests,
            Consumer<String> askWorker) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.manifests = Checks.notNull("manifests", manifests);
        this.askWorker = Checks.notNull("askWorker", askWorker);
        this.waveProgress = new WaveProgressStore(context);
        this.initialPoolSizes = new InitialPoolSizes(context);
        this.surgeRates = new SurgeRateStore(context);
        this.recentOrders = new RecentVmOrders(context);
        this.orders = new VmOrderSender(context, recentOrders);
        Duration longestAbsence =
                context.settings().maintenanceTime().plus(context.settings().moveTime());
        this.goneVms = new GoneVmDetector(longestAbsence.toMillis());
    }

    /**
     * Reads the recent orders of earlier holders.
     *
     * @param onLoaded called when they are read
     */
    void loadOrders(Runnable onLoaded) {
        recentOrders.load(onLoaded);
    }

    /** Reads what else earlier holders stored. */
    void load() {
        waveProgress.load();
        initialPoolSizes.load();
        surgeRates.load();
    }

    /** Returns what collects the figures for submissions, from the VMs as last listed. */
    FigureCollector figures() {
        return new FigureCollector(board, manifests, lastListed::values);
    }

    /** Returns whether the recent orders of earlier holders are read. */
    boolean areOrdersLoaded() {
        return recentOrders.isLoaded();
    }

    /**
     * Keeps tasks off the workers that an order of an earlier holder may end, until a list shows
     * that it is in effect, or it has expired. A worker may become known after the first list.
     */
    void cordonOrderedByPredecessor() {
        Map<String, String> underWay = recentOrders.workersOfOrdersUnderWay(context.nowMillis());
        cordonedForPredecessor.forEach(
                (vm, worker) -> {
                    if (!underWay.containsKey(vm) && !cordoned.contains(vm)) {
                        board.setCordoned(worker, false);
                    }
                });
        underWay.values().forEach(w -> board.setCordoned(w, true));
        cordonedForPredecessor = underWay;
    }

    /** Starts the periodic rounds. */
    void start() {
        runRound();
    }

    void stop() {
        stopped = true;
        waveProgress.stop();
        initialPoolSizes.stop();
        surgeRates.stop();
        recentOrders.stop();
    }

    private void runRound() {
        if (stopped) {
            return;
        }
        long sentAt = context.nowMillis();
        context.supervision()
                .whenAnswered(
                        "VM rounds",
                        context.vms().list(),
                        (vms, fault) -> {
                            if (!stopped) {
                                // An empty list is treated as invalid.
                                boolean listed =
                                        fault == null && !vms.isEmpty() && waveProgress.isLoaded();
                                Duration pause =
                                        listed
                                                ? decide(
                                                        new VmList(
                                                                vms, sentAt, context.nowMillis()))
                                                : pauseFor(poolLoads());
                                runRoundAfter(pause);
                            }
                        },
                        () -> runRoundAfter(ROUND_INTERVAL));
    }

    private void runRoundAfter(Duration pause) {
        context.scheduler().schedule(pause, this::runRound);
    }

    private Map<String, PoolLoad> poolLoads() {
        return board.poolLoads(context.nowMillis());
    }

    private static Duration pauseFor(Map<String, PoolLoad> loads) {
        boolean poolIsShort = loads.values().stream().anyMatch(PoolLoad::isShortOfCapacity);
        return poolIsShort ? SURGE_ROUND_INTERVAL : ROUND_INTERVAL;
    }

    /** Decides from a list; returns the pause until the next one. */
    private Duration decide(VmList list) {
        Set<String> standby = standbyPools();
        recordList(list, standby);
        Map<String, PoolLoad> loads = poolLoads();
        decide(list, loads, standby);
        return pauseFor(loads);
    }

    /** Records what a list shows, before decisions are made from it. */
    private void recordList(VmList list, Set<String> standby) {
        initialPoolSizes.recordFirst(list.vms());
        orders.removeConfirmed(list);
        list.vms().forEach(this::logStatusChange);
        closeEndedWorkers(list, standby);
    }

    /**
     * Closes the runs of workers that no VM runs any more, and asks those that are newly absent.
     */
    private void closeEndedWorkers(VmList list, Set<String> standby) {
        long now = list.receivedAt();
        EndedWorkerDetector.Findings findings =
                endedWorkers.applyList(list, standby, board.evidenceOfWorkersInUse(now));
        findings.ended().forEach(w -> board.workerLifetimeEnded(w, list.requestedAt(), now));
        findings.newlyAbsent().forEach(askWorker);
    }

    private void decide(VmList list, Map<String, PoolLoad> loads, Set<String> standby) {
        long now = list.receivedAt();
        List<FleetWavePlanner.Progress> open =
                waveProgress.openWaves(manifests.waveOrders().values(), now);
        Set<String> gone = goneVms.applyList(vmsOf(open), list);
        if (!orders.mayDecide()) {
            return;
        }
        Map<String, VmView> views = new TreeMap<>();
        list.vms().forEach(vm -> views.put(vm.name(), view(vm, standby, now)));
        Round round = new Round(views, loads, standby, gone, now);
        Set<String> draining = decideWaves(open, round);
        decideMoves(round, draining);
        orders.sendAll();
    }

    /**
     * The input of one round of decisions.
     *
     * @param views the VMs by name
     * @param loads the load of the pools by name
     * @param standby the pools whose VMs are powered off
     * @param gone the VMs of open waves that no longer exist
     * @param now the monotonic time of the round, in milliseconds
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

    /**
     * Returns whether an order for a VM may be sent now.
     *
     * <p>A new holder sends orders at once, except for VMs that its predecessor may recently have
     * ordered, and for VMs whose workers may have runs that it does not know.
     */
    private boolean mayOrder(VmView view, Round round) {
        boolean handoverOver =
                recentOrders.isHandoverOver(round.now())
                        || !recentOrders.mayBeOrderedByPredecessor(view.vm().name(), round.now());
        return handoverOver && view.load().known();
    }

    private void logStatusChange(ListedFleetVm vm) {
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

    private VmView view(ListedFleetVm vm, Set<String> standby, long now) {
        boolean off = vm.worker().isEmpty() || standby.contains(vm.pool());
        WorkerLoad load = off ? WorkerLoad.IDLE : board.loadOf(vm.worker(), now);
        boolean evacuated = manifests.evacuatedDataCentres().contains(vm.dataCentre());
        return new VmView(vm, load, orders.openOrder(vm), evacuated);
    }

    private Set<String> decideWaves(List<FleetWavePlanner.Progress> open, Round round) {
        Map<String, VmView> views = round.views();
        Set<String> draining = new HashSet<>();
        board.setMaintenanceDue(workersToMaintain(open, views));
        FleetWavePlanner.Fleet fleet =
                new FleetWavePlanner.Fleet(
                        views,
                        round.loads(),
                        round.standby(),
                        round.gone(),
                        cordoned,
                        context.settings().maintenanceTime().toMillis());
        Map<FleetWavePlanner.Progress, FleetWavePlanner.Decision> decisions = new LinkedHashMap<>();
        open.forEach(w -> decisions.put(w, FleetWavePlanner.decide(w, fleet, round.now())));
        Set<String> kept = vmsToKeep(decisions.values(), round);
        decisions.forEach((wave, decision) -> draining.addAll(apply(wave, decision, kept, round)));
        cordon(views, draining);
        return draining;
    }

    /** Returns the VMs of waves that accept tasks for now, since tasks of their pool wait. */
    private static Set<String> vmsToKeep(
            Collection<FleetWavePlanner.Decision> decisions, Round round) {
        Set<String> leaving = new HashSet<>();
        Set<String> withDeadlineAtRisk = new HashSet<>();
        for (FleetWavePlanner.Decision decision : decisions) {
            leaving.addAll(leavingVms(decision));
            if (decision.deadlineAtRisk()) {
                withDeadlineAtRisk.addAll(leavingVms(decision));
            }
        }
        Set<String> deferrable = new HashSet<>(leaving);
        deferrable.removeAll(withDeadlineAtRisk);
        return DrainReserve.vmsToKeep(round.views().values(), round.loads(), leaving, deferrable);
    }

    /** Returns the VMs that a wave drains or maintains now. */
    private static Set<String> leavingVms(FleetWavePlanner.Decision decision) {
        Set<String> leaving = new HashSet<>(decision.drain());
        leaving.addAll(decision.maintain());
        return leaving;
    }

    /** Carries out what is decided for a wave; returns the VMs that accept no more tasks. */
    private Set<String> apply(
            FleetWavePlanner.Progress wave,
            FleetWavePlanner.Decision decision,
            Set<String> kept,
            Round round) {
        Map<String, VmView> views = round.views();
        Set<String> draining = leavingVms(decision);
        draining.removeAll(kept);
        long number = wave.order().number();
        for (String vm : decision.maintain()) {
            if (!kept.contains(vm) && mayOrder(views.get(vm), round)) {
                orders.maintain(
                        views.get(vm).vm(),
                        number,
                        () -> waveProgress.recordMaintenance(number, vm));
            }
        }
        for (String vm : decision.drain()) {
            if (!kept.contains(vm)) {
                board.drain(views.get(vm).vm().worker(), decision.deadlineAtRisk(), round.now());
            }
        }
        if (decision.completed()) {
            waveProgress.recordCompletion(number, countGone(wave, round));
        }
        return draining;
    }

    private static Set<String> workersToMaintain(
            List<FleetWavePlanner.Progress> open, Map<String, VmView> views) {
        return open.stream()
                .flatMap(w -> w.remainingVms().stream())
                .filter(views::containsKey)
                .map(vm -> views.get(vm).vm().worker())
                .collect(Collectors.toSet());
    }

    private static long countGone(FleetWavePlanner.Progress wave, Round round) {
        return wave.order().vms().stream().filter(round.gone()::contains).count();
    }

    private void cordon(Map<String, VmView> views, Set<String> draining) {
        for (VmView view : views.values()) {
            String name = view.vm().name();
            boolean cordon =
                    draining.contains(name) || orders.openOrder(view.vm()) != PendingOrder.NONE;
            if (!view.vm().worker().isEmpty()) {
                board.setCordoned(view.vm().worker(), cordon);
            }
            if (cordon) {
                cordoned.add(name);
            } else {
                cordoned.remove(name);
            }
        }
    }

    private void decideMoves(Round round, Set<String> draining) {
        if (!initialPoolSizes.isKnown() || !surgeRates.isLoaded()) {
            return;
        }
        if (planner == null) {
            surges = new SurgeForecast(surgeRates.stored(), VmController::logForecast);
            planner = new PoolPlanner(initialPoolSizes.sizes(), context.settings().pools(), surges);
        }
        List<Move> moves =
                new ArrayList<>(
                        planner.decide(
                                round.views().values(),
                                round.loads(),
                                round.standby(),
                                draining,
                                v -> mayOrder(v, round),
                                round.now()));
        moves.addAll(
                EvacuatedVms.decide(
                        round.views().values(),
                        round.standby(),
                        v -> !draining.contains(v.vm().name()) && mayOrder(v, round)));
        recordSurges(round.now());
        for (Move move : moves) {
            String worker = round.views().get(move.vm()).vm().worker();
            board.setCordoned(worker, true);
            cordoned.add(move.vm());
            orders.move(round.views().get(move.vm()).vm(), move.to());
        }
    }

    private void recordSurges(long now) {
        Map<String, Long> rates = surges.rates();
        context.metrics().setSurgeRates(rates);
        surgeRates.store(rates, now);
    }

    private static void logForecast(SurgeForecast.BegunSurge surge) {
        EventLog.log(
                TaskEvent.SURGE_FORECAST,
                Field.of("pool", surge.pool()),
                Field.of("arriving", surge.arrivingMilliCores()),
                Field.of("forecast", surge.forecastMilliCores()));
    }

    private Set<String> standbyPools() {
        Manifest manifest = manifests.manifest().orElseThrow();
        return manifest.pools().keySet().stream()
                .filter(manifest::isStandby)
                .collect(Collectors.toSet());
    }
}
