package org.chervillift.standin.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.runtime.supervision.Scheduler;

/** VMs in memory, with workers that register in the store. Used by one thread. */
public final class MemoryFleet implements FleetVms {

    private static final Duration LATENCY = MemoryStore.LATENCY;
    private static final Duration REPLACEMENT_TIME = Duration.ofSeconds(3);

    private final Scheduler scheduler;
    private final Later later;
    private final MemoryStore store;
    private final WorkerRows rows;
    private final FleetTimes times;
    private final Set<String> standbyPools;
    private final Map<String, MemoryVm> vms = new TreeMap<>();
    private final Map<String, MemoryWorker> workers = new HashMap<>();
    private final List<String> starts = new ArrayList<>();
    private final List<SeenMove> moves = new ArrayList<>();
    private final List<String> maintained = new ArrayList<>();
    private Set<String> leftOut = Set.of();
    private Predicate<TaskId> deadlyTasks = t -> false;
    private Duration orderLatency = LATENCY;
    private Duration listLatency = Duration.ZERO;
    private int ordersReceived;
    private boolean movesHeld;
    private long heartbeats;

    /**
     * Creates a fleet without VMs.
     *
     * @param store where the workers register
     * @param rows how they register
     * @param times how long things take
     * @param standbyPools the pools whose VMs are off
     */
    public MemoryFleet(
            Scheduler scheduler,
            MemoryStore store,
            WorkerRows rows,
            FleetTimes times,
            Set<String> standbyPools) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.later = new Later(scheduler);
        this.store = Checks.notNull("store", store);
        this.rows = Checks.notNull("rows", rows);
        this.times = Checks.notNull("times", times);
        this.standbyPools = Set.copyOf(standbyPools);
    }

    /**
     * Adds a VM; outside the standby pools it runs a worker.
     *
     * @param template what its first worker says of itself
     */
    public void add(WorkerEntry template) {
        MemoryVm vm = new MemoryVm(template);
        vms.put(vm.name(), vm);
        enter(vm);
    }

    private void enter(MemoryVm vm) {
        if (standbyPools.contains(vm.pool())) {
            return;
        }
        begin(vm, vm.nextEntry(nowMillis()));
    }

    private void begin(MemoryVm vm, WorkerEntry entry) {
        MemoryWorker worker = new MemoryWorker(entry, times.task(), starts::add, scheduler);
        worker.crashUnder(deadlyTasks, () -> replaceWorker(vm));
        vm.setWorker(worker);
        workers.put(entry.id(), worker);
        register(entry);
    }

    private void register(WorkerEntry entry) {
        Write write = rows.row(entry, heartbeats);
        store.put(write.key(), write.value().orElseThrow());
    }

    /** Writes the row of each worker anew, again and again. */
    public void sendHeartbeats(Duration interval) {
        heartbeats++;
        vms.values().stream()
                .flatMap(v -> v.worker().stream())
                .filter(w -> !w.isCrashed())
                .forEach(w -> register(w.entry()));
        scheduler.schedule(interval, () -> sendHeartbeats(interval));
    }

    /** Lets moves be answered well and not be carried out, or carries out later ones again. */
    public void holdMoves(boolean held) {
        this.movesHeld = held;
    }

    /** Sets how long it takes to carry out and answer an order from now on. */
    public void setOrderLatency(Duration latency) {
        this.orderLatency = Checks.notNull("latency", latency);
    }

    /** Sets how long after it shows what was the case a list arrives, beside the usual latency. */
    public void setListLatency(Duration latency) {
        this.listLatency = Checks.notNull("latency", latency);
    }

    /** Lets workers crash under some tasks before they answer; their VMs get new workers. */
    public void crashUnder(Predicate<TaskId> tasks) {
        this.deadlyTasks = Checks.notNull("tasks", tasks);
        vms.values()
                .forEach(
                        v ->
                                v.worker()
                                        .ifPresent(
                                                w -> w.crashUnder(tasks, () -> replaceWorker(v))));
    }

    /** Ends the worker of a VM without notice; a new one begins after a while. */
    public void crash(String name) {
        replaceWorker(vms.get(name));
    }

    private void replaceWorker(MemoryVm vm) {
        vm.leave(Status.DOWN);
        scheduler.schedule(
                REPLACEMENT_TIME,
                () -> {
                    vm.comeBack(vm.pool());
                    enter(vm);
                });
    }

    /** Ends the worker of a VM without notice; it starts again under its identifier. */
    public void restartUnderSameId(String name, Duration away) {
        MemoryVm vm = vms.get(name);
        WorkerEntry former = vm.worker().orElseThrow().entry();
        vm.leave(Status.DOWN);
        scheduler.schedule(
                away,
                () -> {
                    vm.comeBack(vm.pool());
                    begin(vm, vm.entryOf(former.id(), nowMillis()));
                });
    }

    /** Returns how many orders have arrived. */
    public int ordersReceived() {
        return ordersReceived;
    }

    /** Lets lists leave out these VMs, and no others, from now on. */
    public void leaveOut(Set<String> names) {
        this.leftOut = Set.copyOf(names);
    }

    /** Returns a worker by its identifier, also one that has crashed. */
    public MemoryWorker worker(String id) {
        return Checks.notNull("worker " + id, workers.get(id));
    }

    /** Returns the calls to a lifetime of a worker, if it still is the one at its address. */
    public Optional<WorkerCalls> calls(String id) {
        return Optional.ofNullable(workers.get(id)).filter(w -> !w.isCrashed()).map(w -> w);
    }

    /** Returns what was started, oldest first, each as task, run and worker. */
    public List<String> starts() {
        return List.copyOf(starts);
    }

    /** Returns the moves that were answered well, oldest first. */
    public List<SeenMove> moves() {
        return List.copyOf(moves);
    }

    /** Returns the VMs whose maintenance has begun, oldest first. */
    public List<String> maintained() {
        return List.copyOf(maintained);
    }

    @Override
    public CompletionStage<List<ListedFleetVm>> list() {
        Duration latency = listLatency;
        return later.complete(LATENCY, this::listNow)
                .thenCompose(list -> later.complete(latency, () -> list));
    }

    private List<ListedFleetVm> listNow() {
        return vms.values().stream()
                .filter(v -> !leftOut.contains(v.name()))
                .map(MemoryVm::listed)
                .toList();
    }

    @Override
    public CompletionStage<VmAnswer> move(String vm, String pool, Duty duty) {
        ordersReceived++;
        return later.complete(orderLatency, () -> moveNow(vm, pool, duty));
    }

    private VmAnswer moveNow(String name, String pool, Duty duty) {
        VmAnswer refusal = refusal(name, duty);
        if (refusal != VmAnswer.DONE) {
            return refusal;
        }
        MemoryVm vm = vms.get(name);
        moves.add(new SeenMove(name, pool, duty.fence(), nowMillis()));
        if (!movesHeld && !vm.pool().equals(pool)) {
            takeAway(vm, Status.MOVING, times.move(), pool);
        }
        return VmAnswer.DONE;
    }

    @Override
    public CompletionStage<VmAnswer> maintain(String vm, long wave, Duty duty) {
        ordersReceived++;
        return later.complete(orderLatency, () -> maintainNow(vm, duty));
    }

    private VmAnswer maintainNow(String name, Duty duty) {
        VmAnswer refusal = refusal(name, duty);
        if (refusal == VmAnswer.DONE) {
            MemoryVm vm = vms.get(name);
            maintained.add(name);
            takeAway(vm, Status.MAINTENANCE, times.maintenance(), vm.pool());
        }
        return refusal;
    }

    private VmAnswer refusal(String name, Duty duty) {
        MemoryVm vm = vms.get(name);
        if (vm == null) {
            return VmAnswer.NOT_POSSIBLE;
        }
        if (!vm.pass(duty.fence())) {
            return VmAnswer.FENCED;
        }
        return vm.status() == Status.UP ? VmAnswer.DONE : VmAnswer.BUSY;
    }

    private void takeAway(MemoryVm vm, Status reason, Duration time, String pool) {
        vm.worker().ifPresent(w -> store.delete(rows.row(w.entry(), heartbeats).key()));
        vm.leave(reason);
        scheduler.schedule(
                time,
                () -> {
                    vm.comeBack(pool);
                    enter(vm);
                });
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }
}
