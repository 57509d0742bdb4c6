package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.api.platform.FleetVms.VmAnswer;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.standin.tasks.MemoryStore;

/** VMs with workers that run a load, and what is truly running on them. */
final class SoakFleet {

    static final String STANDBY_POOL = "spare";
    static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b");

    /** How long after the row of an evacuation was stored tasks may still start. */
    static final Duration EVACUATE_WITHIN = Duration.ofSeconds(5);

    private static final Duration MOVE_TIME = Duration.ofMillis(1_500);
    private static final Duration MAINTENANCE_TIME = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT = Duration.ofSeconds(2);
    static final int RACKS = 3;
    private static final int SLOW_RUN_OF = 20;
    private static final int SLOW_RUN_FACTOR = 8;
    private static final int MAX_CLOCK_OFFSET = 1_000_000;

    private final Scheduler scheduler;
    private final MemoryStore store;
    private final Random random;
    private final double remoteFactor;
    private final Map<String, SoakVm> vms = new TreeMap<>();
    private final Map<String, SoakWorker> workers = new HashMap<>();
    private final Map<String, SoakJob> jobs = new HashMap<>();
    private final List<String> repeated = new ArrayList<>();
    private final Map<String, Long> evacuatedSince = new HashMap<>();
    private final List<String> startsAfterEvacuation = new ArrayList<>();
    private final Set<TaskId> lateCopies = new HashSet<>();
    private long heartbeats;

    /** A VM and the lifetime of its worker. */
    static final class SoakVm {
        final String name;
        final Resources capacity;
        String pool;
        Status status = Status.UP;
        Optional<SoakWorker> worker = Optional.empty();
        int lifetimes;
        long fence;

        SoakVm(String name, String pool, Resources capacity) {
            this.name = name;
            this.pool = pool;
            this.capacity = capacity;
        }

        String dataCentre() {
            return DATA_CENTRES.get(Math.floorMod(name.hashCode(), DATA_CENTRES.size()));
        }

        List<String> labels() {
            return List.of("a", rackOf(name.hashCode() % RACKS));
        }
    }

    static String rackOf(int number) {
        return "rack-" + number;
    }

    SoakFleet(Scheduler scheduler, MemoryStore store, Random random, double remoteFactor) {
        this.remoteFactor = remoteFactor;
        this.scheduler = scheduler;
        this.store = store;
        this.random = random;
    }

    void add(String name, String pool, Resources capacity) {
        SoakVm vm = new SoakVm(name, pool, capacity);
        vms.put(name, vm);
        enter(vm, false);
    }

    void sendHeartbeats() {
        heartbeats++;
        vms.values().stream().flatMap(v -> v.worker.stream()).forEach(this::register);
        scheduler.schedule(HEARTBEAT, this::sendHeartbeats);
    }

    Map<String, SoakVm> vms() {
        return vms;
    }

    Optional<SoakWorker> worker(String id) {
        return Optional.ofNullable(workers.get(id)).filter(w -> !w.isCrashed());
    }

    List<SoakWorker> liveWorkers() {
        return vms.values().stream().flatMap(v -> v.worker.stream()).toList();
    }

    void add(SoakJob job) {
        jobs.put(job.id(), job);
    }

    SoakJob job(TaskId task) {
        return job(task.job());
    }

    SoakJob job(String id) {
        return jobs.get(id);
    }

    Resources request(TaskId task) {
        return job(task).request(task);
    }

    /** Stores the request to evacuate a data centre. */
    void evacuate(String dataCentre) {
        var write = FleetRowWriter.evacuationWrite(dataCentre);
        store.put(write.key(), write.value().orElseThrow());
        evacuatedSince.putIfAbsent(dataCentre, nowMillis());
    }

    /** Withdraws the request to evacuate a data centre. */
    void endEvacuation(String dataCentre) {
        store.delete(FleetRowWriter.evacuationWrite(dataCentre).key());
        evacuatedSince.remove(dataCentre);
    }

    /** Returns the starts in a data centre that was evacuated for longer than the bound. */
    List<String> startsAfterEvacuation() {
        return startsAfterEvacuation;
    }

    private void checkEvacuation(TaskId task, String worker) {
        String dataCentre = workers.get(worker).entry().dataCentre();
        long since = evacuatedSince.getOrDefault(dataCentre, Long.MAX_VALUE);
        if (nowMillis() - EVACUATE_WITHIN.toMillis() > since) {
            startsAfterEvacuation.add(
                    nowMillis() + " task " + task + " starts in " + dataCentre + " on " + worker);
        }
    }

    /**
     * Returns how long a run takes: longer away from its data, and now and then where copies are
     * allowed.
     */
    long runMillis(TaskId task, int run, WorkerEntry worker) {
        SoakJob job = job(task);
        String rack = job.step(task).dataRack();
        boolean away = !rack.isEmpty() && !rack.equals(worker.labels().get(1));
        boolean slow =
                job.step(task).allowDuplicates()
                        && !job.step(task).gang()
                        && Math.floorMod(Objects.hash(task, run, worker.id()), SLOW_RUN_OF) == 0;
        return Math.round(
                job.taskMillis() * (away ? remoteFactor : 1) * (slow ? SLOW_RUN_FACTOR : 1));
    }

    /**
     * Checks that a task neither runs elsewhere nor has ended well to the holder's knowledge.
     *
     * <p>If its step allows copies, it may run once elsewhere. The order to start its copy may be
     * carried out late, after the other run has ended; so that may happen once.
     */
    void taskStarts(TaskId task, String worker) {
        checkEvacuation(task, worker);
        job(task).started();
        boolean mayHaveCopy = job(task).step(task).allowDuplicates();
        boolean afterItsEnd = job(task).isNotedDone(task) && !(mayHaveCopy && lateCopies.add(task));
        long runs = liveWorkers().stream().filter(w -> runs(w, task)).count();
        boolean again = afterItsEnd || runs > (mayHaveCopy ? 1 : 0);
        if (again) {
            repeated.add(nowMillis() + " task " + task + " starts again on " + worker);
        }
    }

    private static boolean runs(SoakWorker worker, TaskId task) {
        worker.checkLease();
        return worker.isRunning(task);
    }

    /** Returns the starts of tasks that ran, or had run, already. */
    List<String> repeatedStarts() {
        return repeated;
    }

    void taskCrashed(TaskId task) {
        job(task).crashed(task);
        int run = 0;
        breakGang(task, run);
    }

    void taskEnded(TaskId task, int run, RunEnd how) {
        job(task).ended(task, how);
        if (how != RunEnd.DONE && how != RunEnd.GANG_BROKEN) {
            breakGang(task, run);
        }
    }

    private void breakGang(TaskId task, int run) {
        if (!job(task).step(task).gang()) {
            return;
        }
        for (SoakWorker worker : liveWorkers()) {
            worker.runs()
                    .forEach(
                            (t, r) -> {
                                boolean member =
                                        t.job().equals(task.job()) && t.step() == task.step();
                                if (member && !t.equals(task) && (run == 0 || run == r)) {
                                    worker.breakGang(t, r);
                                }
                            });
        }
    }

    /** Starts a lifetime of a VM's worker, under its former identifier or a new one. */
    private void enter(SoakVm vm, boolean sameId) {
        vm.status = Status.UP;
        if (vm.pool.equals(STANDBY_POOL)) {
            return;
        }
        vm.lifetimes += sameId ? 0 : 1;
        WorkerEntry entry =
                new WorkerEntry(
                        "w-" + vm.name + "-" + vm.lifetimes,
                        nowMillis(),
                        vm.name,
                        vm.pool,
                        "127.0.0.1:1",
                        vm.dataCentre(),
                        false,
                        0,
                        vm.capacity,
                        vm.labels());
        SoakWorker worker =
                new SoakWorker(this, scheduler, entry, random.nextInt(MAX_CLOCK_OFFSET));
        vm.worker = Optional.of(worker);
        workers.put(entry.id(), worker);
        register(worker);
    }

    void register(SoakWorker worker) {
        var write = FleetRowWriter.workerWrite(worker.entry(), heartbeats);
        store.put(write.key(), write.value().orElseThrow());
    }

    /** Ends the worker of a VM without notice; it comes back after a while. */
    void crash(SoakVm vm, Duration away, boolean sameId) {
        if (vm.status != Status.UP || vm.worker.isEmpty()) {
            return;
        }
        vm.worker.get().crash();
        if (!sameId) {
            store.delete(FleetRowWriter.workerWrite(vm.worker.get().entry(), 0).key());
        }
        vm.worker = Optional.empty();
        vm.status = Status.DOWN;
        scheduler.schedule(away, () -> enter(vm, sameId));
    }

    List<ListedFleetVm> list() {
        return vms.values().stream()
                .map(
                        v ->
                                new ListedFleetVm(
                                        v.name,
                                        v.pool,
                                        v.status,
                                        v.dataCentre(),
                                        v.labels(),
                                        v.capacity,
                                        v.worker.map(w -> w.entry().id()).orElse("")))
                .toList();
    }

    VmAnswer move(String name, String pool, long fence) {
        SoakVm vm = vms.get(name);
        VmAnswer refusal = refusal(vm, fence);
        if (refusal == VmAnswer.DONE && !vm.pool.equals(pool)) {
            takeAway(vm, Status.MOVING, MOVE_TIME, pool);
        }
        return refusal;
    }

    VmAnswer maintain(String name, long fence) {
        SoakVm vm = vms.get(name);
        VmAnswer refusal = refusal(vm, fence);
        if (refusal == VmAnswer.DONE) {
            takeAway(vm, Status.MAINTENANCE, MAINTENANCE_TIME, vm.pool);
        }
        return refusal;
    }

    private static VmAnswer refusal(SoakVm vm, long fence) {
        if (vm == null) {
            return VmAnswer.NOT_POSSIBLE;
        }
        if (fence < vm.fence) {
            return VmAnswer.FENCED;
        }
        vm.fence = fence;
        return vm.status == Status.UP ? VmAnswer.DONE : VmAnswer.BUSY;
    }

    private void takeAway(SoakVm vm, Status reason, Duration time, String pool) {
        vm.worker.ifPresent(
                w -> {
                    store.delete(FleetRowWriter.workerWrite(w.entry(), 0).key());
                    w.crash();
                });
        vm.worker = Optional.empty();
        vm.status = reason;
        scheduler.schedule(
                time,
                () -> {
                    vm.pool = pool;
                    enter(vm, false);
                });
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }
}
