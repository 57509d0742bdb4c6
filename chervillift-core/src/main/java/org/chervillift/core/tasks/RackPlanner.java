package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.RackForecasts.ExpectedPlaces;
import org.chervillift.core.tasks.placement.RackDemand;
import org.chervillift.core.tasks.placement.RackWait;

/**
 * Decides which steps wait for a place in a rack, and which racks tightly coupled steps go to.
 *
 * <p>The load that it addresses: many jobs want one rack at a time, while other racks have room.
 * {@link RackWait} compares the expected wait with what a run elsewhere takes more. A step that
 * waits holds no worker, so that lower-ranked steps start meanwhile.
 */
final class RackPlanner {

    private final RunEndEstimator runEnds;
    private final JobRanking ranking;
    private final long termBeganAt;
    private final RackWaits waits;
    private final RackForecasts forecasts;
    private final RackPreference anyRack;
    private final Map<String, RackDemand> demands = new HashMap<>();
    private final FullPools fullPools = new FullPools();
    private final Map<String, Map<String, List<WorkerRecord>>> racksByPool = new HashMap<>();
    private Optional<Considered> considered = Optional.empty();

    /** The step that is planned now; what is found for one of its tasks holds for the next. */
    private static final class Considered {

        private final StepEntry step;
        private final RackWait wait;
        private boolean denied;

        Considered(StepEntry step, RackWait wait) {
            this.step = step;
            this.wait = wait;
        }
    }

    /**
     * Creates a planner of which no step waits yet.
     *
     * @param termBeganAt when this holder's term began, in milliseconds
     */
    RackPlanner(
            RunEndEstimator runEnds,
            JobRanking ranking,
            long termBeganAt,
            Consumer<SchedulerEvent> events) {
        this.runEnds = runEnds;
        this.ranking = ranking;
        this.termBeganAt = termBeganAt;
        this.waits = new RackWaits(events);
        this.forecasts = new RackForecasts(runEnds);
        this.anyRack = new RackPreference(runEnds.remoteFactor(), List.of());
    }

    /** Begins a plan of starts. */
    void beginRound() {
        forecasts.beginRound();
        racksByPool.clear();
        fullPools.beginRound();
        considered = Optional.empty();
        waits.beginRound();
    }

    /** Records a start that was decided in this round. */
    void recordStart(Run run, long now) {
        forecasts.addRun(run, now);
        StepEntry step = run.task().step();
        if (run.worker().rack().equals(step.rackWait().rack())) {
            waits.recordStartInRack(step);
        }
    }

    /** Returns the steps that wait for a rack. */
    RackWaits waits() {
        return waits;
    }

    /** Returns the estimator of when runs end. */
    RunEndEstimator runEnds() {
        return runEnds;
    }

    /** Returns the preference of tasks that go to any rack. */
    RackPreference anyRack() {
        return anyRack;
    }

    private boolean isEnabled() {
        return runEnds.remoteFactor() > 1;
    }

    /**
     * Returns the racks that a step goes to first; empty if it waits for a rack that holds all of
     * its tasks.
     *
     * @param usable whether a worker is not kept free for another step
     */
    Optional<RackPreference> choose(
            StepEntry step, List<WorkerRecord> pool, Predicate<WorkerRecord> usable, long now) {
        if (!isEnabled()
                || !CoupledSteps.belongsTogether(step)
                || step.runs().findAny().isPresent()
                || fullPools.isFullFor(step)) {
            return Optional.of(anyRack);
        }
        int needed = CoupledSteps.needed(step);
        Predicate<WorkerRecord> eligible = usable.and(w -> Placement.isEligible(step, w, now));
        Map<String, List<WorkerRecord>> racks = eligibleRacks(step, pool, eligible);
        Map<String, Integer> places = new TreeMap<>();
        racks.forEach((r, w) -> places.put(r, CoupledSteps.placesNow(step, needed, w)));
        if (places.values().stream().allMatch(p -> p == 0)) {
            fullPools.recordNoWorker(step, pool, usable);
        }
        Optional<String> whole = CoupledSteps.smallestWhole(step, needed, racks, places);
        if (whole.isPresent()) {
            return Optional.of(preferring(List.of(whole.get())));
        }
        if (CoupledSteps.mayStartNow(step, needed, places)
                && waitsForWhole(step, needed, racks, now)) {
            return Optional.empty();
        }
        return Optional.of(
                step.spec().tightlyCoupled() ? preferring(CoupledSteps.byPlaces(places)) : anyRack);
    }

    /** Returns the workers of each rack that may run a step. */
    private Map<String, List<WorkerRecord>> eligibleRacks(
            StepEntry step, List<WorkerRecord> pool, Predicate<WorkerRecord> eligible) {
        Map<String, List<WorkerRecord>> racks = new TreeMap<>();
        racksOf(step, pool)
                .forEach((rack, w) -> racks.put(rack, w.stream().filter(eligible).toList()));
        return racks;
    }

    private Map<String, List<WorkerRecord>> racksOf(StepEntry step, List<WorkerRecord> pool) {
        return racksByPool.computeIfAbsent(
                step.job().policy().pool(),
                p -> pool.stream().collect(Collectors.groupingBy(WorkerRecord::rack)));
    }

    private RackPreference preferring(List<String> order) {
        return new RackPreference(runEnds.remoteFactor(), order);
    }

    private boolean waitsForWhole(
            StepEntry step, int needed, Map<String, List<WorkerRecord>> racks, long now) {
        RackWait wait = waitOf(step, now);
        if (!wait.mayPay(now)) {
            return false;
        }
        String best = "";
        Optional<ExpectedPlaces> first = Optional.empty();
        for (Map.Entry<String, List<WorkerRecord>> rack : racks.entrySet()) {
            if (!CoupledSteps.mayHoldWhole(step, rack.getKey())
                    || !CoupledSteps.holdsWhole(step, needed, rack.getValue())) {
                continue;
            }
            long latest = first.map(ExpectedPlaces::at).orElse(wait.latestPlace(now));
            Optional<ExpectedPlaces> places =
                    forecasts.firstPlaces(step, needed, rack.getValue(), latest, now);
            best = places.isPresent() ? rack.getKey() : best;
            first = places.isPresent() ? places : first;
        }
        if (first.isEmpty()) {
            return false;
        }
        beginWait(step, wait, best, first.get(), now);
        return true;
    }

    /**
     * Where a task goes in this round.
     *
     * @param worker the worker that takes it now, if there is one
     * @param waits whether it waits for a place in its rack instead
     */
    record Place(Optional<WorkerRecord> worker, boolean waits) {

        /** No worker can take the task now. */
        static final Place NONE = new Place(Optional.empty(), false);

        private static final Place WAITS = new Place(Optional.empty(), true);

        /** Returns whether the task neither starts now nor waits for its rack. */
        boolean isNone() {
            return worker.isEmpty() && !waits;
        }
    }

    /**
     * Chooses the worker of a task, or lets it wait. A wait begins only if the task could start
     * elsewhere; while it goes on, the workers elsewhere need not be looked at.
     *
     * @param usable whether a worker is not kept free for another task
     */
    Place place(
            TaskEntry task,
            List<WorkerRecord> pool,
            Predicate<WorkerRecord> usable,
            RackPreference preference,
            long now) {
        StepEntry step = task.step();
        if (isEnabled() && !step.spec().dataRack().isEmpty() && !step.spec().longRunning()) {
            recordDemand(step, pool, now);
        }
        boolean hasWaited = step.rackWait().since().isPresent();
        if (hasWaited && waitsForDataRack(task, pool, usable, now)) {
            return Place.WAITS;
        }
        Optional<WorkerRecord> worker = chooseWorker(task, pool, usable, preference, now);
        boolean away = worker.filter(w -> Placement.isAwayFromData(step.spec(), w)).isPresent();
        return away && !hasWaited && waitsForDataRack(task, pool, usable, now)
                ? Place.WAITS
                : new Place(worker, false);
    }

    private Optional<WorkerRecord> chooseWorker(
            TaskEntry task,
            List<WorkerRecord> pool,
            Predicate<WorkerRecord> usable,
            RackPreference preference,
            long now) {
        // A worker that is kept for the isolation of a task is usable for this task alone.
        boolean isolated = task.crashes().needsIsolation();
        if (!isolated && fullPools.isFullFor(task.step())) {
            return Optional.empty();
        }
        Optional<WorkerRecord> worker = Placement.choose(task, pool, usable, preference, now);
        if (worker.isEmpty() && !isolated) {
            fullPools.recordNoWorker(task.step(), pool, usable);
        }
        return worker;
    }

    /** Returns whether a task waits for a place in the rack of its data. */
    private boolean waitsForDataRack(
            TaskEntry task, List<WorkerRecord> pool, Predicate<WorkerRecord> usable, long now) {
        StepEntry step = task.step();
        if (!mayWaitForData(task)) {
            return false;
        }
        Considered current = consider(step, now);
        List<WorkerRecord> rack =
                racksOf(step, pool).getOrDefault(step.spec().dataRack(), List.of());
        long latest = current.wait.latestPlace(now);
        current.denied = current.denied || !forecasts.mayHaveRoomBefore(latest, step, rack, now);
        if (current.denied) {
            return false;
        }
        List<WorkerRecord> workers =
                rack.stream()
                        .filter(usable)
                        .filter(w -> Placement.isEligible(step, w, now))
                        .toList();
        if (workers.stream().anyMatch(w -> w.hasRoomFor(step.spec().footprint()))) {
            return false;
        }
        Optional<ExpectedPlaces> place = forecasts.firstPlaces(step, 1, workers, latest, now);
        current.denied = place.isEmpty();
        place.ifPresent(p -> beginWait(step, current.wait, step.spec().dataRack(), p, now));
        return place.isPresent();
    }

    private boolean mayWaitForData(TaskEntry task) {
        StepSpec spec = task.step().spec();
        return isEnabled()
                && !spec.dataRack().isEmpty()
                && !spec.longRunning()
                && !CoupledSteps.belongsTogether(task.step())
                && !task.crashes().isSuspect()
                && task.failedWorkers().isEmpty();
    }

    private Considered consider(StepEntry step, long now) {
        if (considered.isEmpty() || considered.get().step != step) {
            Considered next = new Considered(step, waitOf(step, now));
            next.denied = !next.wait.mayPay(now);
            considered = Optional.of(next);
        }
        return considered.get();
    }

    private void beginWait(
            StepEntry step, RackWait wait, String rack, ExpectedPlaces places, long now) {
        step.rackWait().begin(wait.since(), rack);
        forecasts.reserve(step, places, now);
        waits.add(step, wait.endsAt());
    }

    private RackWait waitOf(StepEntry step, long now) {
        JobEntry job = step.job();
        boolean hasBegunRun = job.steps().flatMap(StepEntry::runs).anyMatch(Run::hasBegun);
        return new RackWait(
                runEnds.remoteFactor(),
                runEnds.taskMillis(step),
                step.rackWait().since().orElseGet(() -> firstSince(step, now)),
                hasBegunRun ? OptionalLong.empty() : OptionalLong.of(job.lastRanAt()),
                gapMillis(step, now),
                ranking.latestStart(step));
    }

    private double gapMillis(StepEntry step, long now) {
        RackDemand demand = demands.get(rackKey(step));
        return demand == null ? Double.POSITIVE_INFINITY : demand.meanGapMillis(now);
    }

    private static String rackKey(StepEntry step) {
        return step.job().policy().pool() + "/" + step.spec().dataRack();
    }

    /** Counts the tasks of a step once among those that want its rack, if the rack exists. */
    private void recordDemand(StepEntry step, List<WorkerRecord> pool, long now) {
        if (racksOf(step, pool).containsKey(step.spec().dataRack())
                && step.rackWait().recordDemand()) {
            demands.computeIfAbsent(rackKey(step), k -> new RackDemand())
                    .record(step.tasks().waitingCount(), now);
        }
    }

    /**
     * Returns since when a step counts as waiting that has not waited in this term. An earlier
     * holder may have let it wait, so that all the time since its job arrived counts.
     */
    private long firstSince(StepEntry step, long now) {
        long arrivedAt = step.job().waitingSince(step.occurrence());
        return arrivedAt >= termBeganAt || step.rackWait().becameReady() ? now : arrivedAt;
    }
}
