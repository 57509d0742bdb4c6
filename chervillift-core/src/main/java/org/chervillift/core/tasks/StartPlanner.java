package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;

/** Decides which waiting tasks start now, and where. */
final class StartPlanner {

    /** Runs that are open at once in the whole fleet; each takes up to 1 KB of memory. */
    private static final int MAX_OPEN_RUNS = 40_000;

    private final RunRegistry runs;
    private final JobLifecycle lifecycle;
    private final JobRanking ranking;
    private final RackPlanner racks;
    private final CopyStarter copies;
    private final RunNumbers numbers;
    private final Consumer<SchedulerEvent> events;
    private final IsolationPlanner isolation;
    private final ShareMonitor shareMonitor;
    private final Map<String, KeptWorker> keptFree = new HashMap<>();
    private final List<StepEntry> blockedUrgent = new ArrayList<>();
    private UnplaceableSizes unplaceable = new UnplaceableSizes();
    private Map<String, Resources> unknownUsage = Map.of();

    StartPlanner(
            RunRegistry runs,
            JobLifecycle lifecycle,
            JobRanking ranking,
            RackPlanner racks,
            SchedulerSettings settings,
            Consumer<SchedulerEvent> events) {
        this.runs = runs;
        this.lifecycle = lifecycle;
        this.ranking = ranking;
        this.racks = racks;
        this.copies = new CopyStarter(this, racks, events);
        this.numbers = new RunNumbers(settings.term());
        this.events = events;
        this.shareMonitor = new ShareMonitor(events);
        this.isolation = new IsolationPlanner(settings.vmMoveMillis(), events);
    }

    /**
     * Opens runs for the waiting tasks that fit on a worker, and returns the orders to start them.
     *
     * @param liveJobs the jobs that are not in a final state
     * @param unknownPools the pools of the workers that may have runs which this holder does not
     *     know; steps wait that an earlier holder may have started there
     */
    List<Order.Start> planStarts(
            Collection<JobEntry> liveJobs,
            Collection<WorkerRecord> workers,
            Manifest manifest,
            Set<String> unknownPools,
            long now) {
        unknownUsage = UnknownUsage.of(liveJobs, unknownPools);
        Map<String, List<WorkerRecord>> pools =
                workers.stream().collect(Collectors.groupingBy(WorkerRecord::pool));
        pools.values().forEach(p -> FaultyWorkerLimit.apply(p, now));
        pools.values().forEach(PoolSpeeds::apply);
        Map<String, List<StartOrder.Candidate>> candidatesByPool =
                liveJobs.stream()
                        .flatMap(JobEntry::steps)
                        .filter(s -> !s.isDone() && s.isReady() && hasStartableTask(s, now))
                        .filter(s -> !s.begunPools().mayHaveBegunByPredecessor(unknownPools))
                        .map(s -> new StartOrder.Candidate(s, ranking.rankOf(s, now)))
                        .collect(Collectors.groupingBy(c -> c.step().job().policy().pool()));
        isolation.beginRound(StartOrder.stepsOf(candidatesByPool.values()), now);
        racks.beginRound();
        keptFree.clear();
        blockedUrgent.clear();
        shareMonitor.beginRound();
        List<Order.Start> orders = new ArrayList<>();
        candidatesByPool.forEach(
                (name, candidates) -> {
                    List<WorkerRecord> pool = pools.getOrDefault(name, List.of());
                    StartOrder order = StartOrder.of(candidates, pool, manifest, now);
                    startCandidates(
                            new PoolRound(pool, new HashSet<>(), order, manifest, now, orders));
                    shareMonitor.record(name, order, now);
                });
        shareMonitor.endRound(now);
        racks.waits().endRound(now);
        orders.addAll(copies.start(liveJobs, pools, manifest, unknownPools, now));
        return orders;
    }

    /** Returns whether a task of a step waits, and no longer for a time after a failed run. */
    static boolean hasStartableTask(StepEntry step, long now) {
        for (TaskEntry task : step.tasks().waiting()) {
            if (task.notBefore() <= now) {
                return true;
            }
        }
        return false;
    }

    /**
     * What one plan does in a pool.
     *
     * @param pool the workers of the pool
     * @param reserved the workers that are kept free for steps that fit on none
     * @param order the steps in their order
     * @param orders receives the orders
     */
    private record PoolRound(
            List<WorkerRecord> pool,
            Set<WorkerRecord> reserved,
            StartOrder order,
            Manifest manifest,
            long now,
            List<Order.Start> orders) {

        boolean isFree(WorkerRecord worker) {
            return !reserved.contains(worker);
        }
    }

    private void startCandidates(PoolRound round) {
        unplaceable = new UnplaceableSizes();
        round.order().steps().forEach(s -> isolation.reserve(s, round.pool(), round.now()));
        Optional<StepEntry> next = round.order().next();
        while (next.isPresent()) {
            StepEntry step = next.get();
            boolean blocked =
                    step.spec().gang() ? !startGang(step, round) : !startTasks(step, round);
            if (blocked && PreemptionPlanner.isUrgent(step)) {
                blockedUrgent.add(step);
            }
            if (blocked && round.reserved().isEmpty()) {
                chooseReservedWorker(step, round.pool(), round.now())
                        .ifPresent(w -> keepFree(w, step, round.reserved()));
            }
            next = round.order().next();
        }
    }

    private record KeptWorker(WorkerRecord worker, StepEntry step) {}

    private void keepFree(WorkerRecord worker, StepEntry step, Set<WorkerRecord> reserved) {
        reserved.add(worker);
        keptFree.put(worker.pool(), new KeptWorker(worker, step));
    }

    /** Returns the urgent steps for which the last plan found no worker, most valuable first. */
    List<StepEntry> blockedUrgent() {
        return List.copyOf(blockedUrgent);
    }

    /** Returns how many customers the last plan postponed, by pool in which customers compete. */
    Map<String, Integer> customersBeyondShare() {
        return shareMonitor.postponedByPool();
    }

    /** Returns whether the last plan kept a worker free for a step that fits on none. */
    boolean isKeptFree(WorkerRecord worker) {
        return Optional.ofNullable(keptFree.get(worker.pool()))
                .filter(k -> k.worker() == worker)
                .isPresent();
    }

    /**
     * Returns whether a task of a step could start on a worker now, if the advice service allows
     * it: the worker may run the step, has room, and is not kept for other tasks.
     */
    boolean couldStart(StepEntry step, WorkerRecord worker, long now) {
        KeptWorker kept = keptFree.get(worker.pool());
        boolean keptForOther = kept != null && kept.worker() == worker && kept.step() != step;
        return Placement.obstacleBesideAdvice(step, worker, now) == WorkerObstacle.NONE
                && worker.hasRoomFor(step.spec().footprint())
                && !keptForOther
                && isAllowedByIsolation(step, worker, now);
    }

    /** Returns whether the next task of a step may start on a worker, as far as isolation goes. */
    boolean isAllowedByIsolation(StepEntry step, WorkerRecord worker, long now) {
        for (TaskEntry task : step.tasks().waiting()) {
            if (task.notBefore() <= now) {
                return isAllowedByIsolation(task, worker, now);
            }
        }
        return true;
    }

    /** Returns whether the last plan kept a worker free for a step that may not stop runs. */
    boolean isKeptFromUrgent(WorkerRecord worker) {
        return isKeptFree(worker)
                && !PreemptionPlanner.isUrgent(keptFree.get(worker.pool()).step());
    }

    /** Starts the waiting tasks of a step; returns false if one of them fits on no worker. */
    private boolean startTasks(StepEntry step, PoolRound round) {
        if (!mayStartOneMore(step, round.manifest())) {
            return true;
        }
        Optional<RackPreference> preference =
                racks.choose(step, round.pool(), round::isFree, round.now());
        return preference.isEmpty() || startTasks(step, preference.get(), round);
    }

    private boolean startTasks(StepEntry step, RackPreference preference, PoolRound round) {
        int mayBegin = JobSizeLimits.tasksThatMayBegin(step);
        for (TaskEntry task : step.tasks().waiting()) {
            if (task.notBefore() > round.now()) {
                continue;
            }
            boolean begins = !step.tasks().isKept(task);
            if (!isNextToStart(step, begins, mayBegin, round)) {
                return true;
            }
            RackPlanner.Place place = placeFor(task, preference, round);
            if (place.isNone() && task.crashes().needsIsolation()) {
                // Waits for a worker of its own, which lower-ranked steps cannot take.
                continue;
            }
            if (place.isNone()) {
                unplaceable.record(task);
                return false;
            }
            place.worker().ifPresent(w -> start(task, w, round));
            mayBegin -= begins ? 1 : 0;
        }
        return true;
    }

    /** Returns whether shares, memory and limits allow the step to start one more task now. */
    private boolean isNextToStart(StepEntry step, boolean begins, int mayBegin, PoolRound round) {
        return !round.order().postponeIfBeyondShare(step)
                && !(begins && mayBegin <= 0)
                && mayStartOneMore(step, round.manifest());
    }

    private RackPlanner.Place placeFor(TaskEntry task, RackPreference preference, PoolRound round) {
        // A wait for a rack goes on in a full pool, since it is for room that is not free yet.
        boolean mayWaitForRack = task.step().rackWait().since().isPresent();
        if (!mayWaitForRack && unplaceable.isUnplaceable(task)) {
            return RackPlanner.Place.NONE;
        }
        Predicate<WorkerRecord> usable = w -> isUsable(task, w, round);
        return racks.place(task, round.pool(), usable, preference, round.now());
    }

    private void start(TaskEntry task, WorkerRecord worker, PoolRound round) {
        round.orders().add(startRun(task, worker, round.now()));
        round.order().recordStarts(task.step(), 1);
    }

    /** Returns whether memory and the limit of its customer allow one more run of a step. */
    boolean mayStartOneMore(StepEntry step, Manifest manifest) {
        return isWithinOpenRuns(1) && isWithinLimit(step, 1, manifest);
    }

    /** Starts all tasks of a gang or none; returns false if they do not all fit on the workers. */
    private boolean startGang(StepEntry step, PoolRound round) {
        List<TaskEntry> tasks = step.tasks().all();
        if (!areAllStartable(tasks, round.now())
                || !isWithinOpenRuns(tasks.size())
                || !isWithinLimit(step, tasks.size(), round.manifest())) {
            return true;
        }
        Optional<RackPreference> preference =
                racks.choose(step, round.pool(), round::isFree, round.now());
        if (preference.isEmpty()) {
            return true;
        }
        int number = tasks.stream().mapToInt(numbers::next).max().orElse(1);
        String checkpoint =
                tasks.stream().map(TaskEntry::checkpoint).max(Comparator.naturalOrder()).orElse("");
        List<Run> placed = new ArrayList<>();
        for (TaskEntry task : tasks) {
            Optional<WorkerRecord> worker = chooseWorker(task, preference.get(), round);
            if (worker.isEmpty()) {
                placed.forEach(runs::close);
                return false;
            }
            placed.add(openRun(task, worker.get(), number, round.now()));
        }
        for (Run run : placed) {
            run.task().updateCheckpoint(checkpoint);
            round.orders().add(startOrder(run, round.now()));
        }
        round.order().recordStarts(step, placed.size());
        return true;
    }

    private Optional<WorkerRecord> chooseWorker(
            TaskEntry task, RackPreference preference, PoolRound round) {
        if (unplaceable.isUnplaceable(task)) {
            return Optional.empty();
        }
        return Placement.choose(
                task, round.pool(), w -> isUsable(task, w, round), preference, round.now());
    }

    private boolean isUsable(TaskEntry task, WorkerRecord worker, PoolRound round) {
        return round.isFree(worker) && isAllowedByIsolation(task, worker, round.now());
    }

    /** Returns whether a step waits for a place in a rack although another worker has room. */
    boolean waitsForRack(StepEntry step, long now) {
        return racks.waits().isWaiting(step, now);
    }

    /** Returns whether a task may be started on a worker, as far as isolation is concerned. */
    boolean isAllowedByIsolation(TaskEntry task, WorkerRecord worker, long now) {
        return isolation.mayStart(task, worker, now);
    }

    /** Returns whether no task of a gang has a run, or waits for a time after a failed run. */
    static boolean isGangStartable(StepEntry gang, long now) {
        return areAllStartable(gang.tasks().all(), now);
    }

    private static boolean areAllStartable(List<TaskEntry> tasks, long now) {
        return tasks.stream().allMatch(t -> t.isWaiting() && t.notBefore() <= now);
    }

    /** Returns how many tasks of a step start together, or not at all. */
    static int startedAtOnce(StepEntry step) {
        return step.spec().gang() ? step.tasks().count() : 1;
    }

    private boolean isWithinOpenRuns(int more) {
        return runs.openCount() + more <= MAX_OPEN_RUNS;
    }

    /** Returns whether memory allows runs of some more tasks of a step. */
    boolean isWithinRunLimits(StepEntry step, int more) {
        boolean mayBegin =
                step.spec().gang()
                        || JobSizeLimits.tasksThatMayBegin(step) > 0
                        || step.tasks().kept().stream().anyMatch(TaskEntry::isWaiting);
        return isWithinOpenRuns(more) && mayBegin;
    }

    /** Opens a run, and returns the order to start it. */
    Order.Start startRun(TaskEntry task, WorkerRecord worker, long now) {
        return startOrder(openRun(task, worker, numbers.next(task), now), now);
    }

    private Run openRun(TaskEntry task, WorkerRecord worker, int number, long now) {
        isolation.recordStart(task, worker, now);
        return runs.open(task, worker, number, Run.Phase.STARTING, now);
    }

    private Order.Start startOrder(Run run, long now) {
        TaskEntry task = run.task();
        task.recordRunNumber(run.number());
        JobEntry job = task.step().job();
        lifecycle.markStarted(job);
        racks.recordStart(run, now);
        WorkerRecord worker = run.worker();
        events.accept(
                SchedulerEvent.of(
                        SchedulerEvent.Kind.START,
                        run,
                        "pool="
                                + worker.pool()
                                + " free="
                                + worker.freeResources().milliCores()
                                + " crashes="
                                + task.crashes().count()));
        return new Order.Start(
                worker.id(),
                task.id(),
                run.number(),
                job.job().spec().payload(),
                task.checkpoint(),
                task.step().advice().ticketFor(worker.id(), now));
    }

    /** Returns whether a customer's limit allows runs of some more tasks of a step. */
    boolean isWithinLimit(StepEntry step, int count, Manifest manifest) {
        String name = step.job().job().customer();
        return isWithinLimit(name, step.spec().request().times(count), manifest);
    }

    /** Returns whether a customer's limit allows that it uses more. */
    boolean isWithinLimit(String name, Resources more, Manifest manifest) {
        Customer customer = manifest.customers().get(name);
        if (customer == null) {
            return true;
        }
        Resources usage = runs.usageOf(name).plus(unknownUsage.getOrDefault(name, Resources.NONE));
        return usage.plus(more).fitsInLimit(customer.limit());
    }

    /**
     * Chooses the worker that is likely to fit a task of the step first. It is kept free for this
     * step, so that lower-ranked steps do not starve it. A worker whose long-running tasks leave
     * too little capacity is never going to fit it, and no worker is kept free for a gang that the
     * pool is never going to fit as a whole.
     */
    private static Optional<WorkerRecord> chooseReservedWorker(
            StepEntry step, List<WorkerRecord> pool, long now) {
        Resources footprint = step.spec().footprint();
        List<WorkerRecord> eligible =
                pool.stream().filter(w -> Placement.isEligible(step, w, now)).toList();
        if (!Places.suffice(
                step,
                startedAtOnce(step),
                footprint,
                eligible,
                WorkerRecord::capacityBesideLongRunning)) {
            return Optional.empty();
        }
        return eligible.stream()
                .filter(w -> footprint.fitsIn(w.capacityBesideLongRunning()))
                .max(Comparator.comparingLong(w -> w.freeResources().milliCores()));
    }
}
