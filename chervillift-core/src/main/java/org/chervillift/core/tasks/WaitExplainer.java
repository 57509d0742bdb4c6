package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;

/** Explains why no task of a step starts, by the conditions of the planner. */
final class WaitExplainer {

    private final StartPlanner planner;

    WaitExplainer(StartPlanner planner) {
        this.planner = planner;
    }

    /**
     * What holds for all steps of one moment.
     *
     * @param unknownPools the pools of the workers that may have runs which this holder does not
     *     know
     * @param room the capacity of the workers that is left by the runs that have begun
     */
    record Moment(
            Manifest manifest,
            Set<String> unknownPools,
            Map<WorkerRecord, Resources> room,
            long now) {

        /** Returns the capacity of a worker that is left by the runs that have begun. */
        Resources roomOn(WorkerRecord worker) {
            return room.getOrDefault(worker, Resources.NONE);
        }
    }

    /** Returns the moment that is explained. */
    static Moment moment(
            Manifest manifest,
            Set<String> unknownPools,
            Collection<WorkerRecord> workers,
            long now) {
        Map<WorkerRecord, Resources> room = new HashMap<>();
        workers.forEach(w -> room.put(w, w.capacityBesideBegunRuns()));
        return new Moment(manifest, unknownPools, room, now);
    }

    /**
     * Explains why no task of a step runs.
     *
     * @param workers the workers that come into question
     */
    WaitReason explain(StepEntry step, Collection<WorkerRecord> workers, Moment at) {
        if (step.runs().anyMatch(r -> !r.hasBegun())) {
            boolean held = step.runs().anyMatch(Run::isStartHeld);
            return held ? WaitReason.START_HELD : WaitReason.START_UNANSWERED;
        }
        if (step.begunPools().mayHaveBegunByPredecessor(at.unknownPools())) {
            return WaitReason.PREDECESSOR_WORKERS;
        }
        if (!StartPlanner.hasStartableTask(step, at.now())) {
            return WaitReason.DELAYED;
        }
        if (step.spec().gang() && !StartPlanner.isGangStartable(step, at.now())) {
            return WaitReason.GANG_INCOMPLETE;
        }
        int count = StartPlanner.startedAtOnce(step);
        if (!planner.isWithinRunLimits(step, count)) {
            return WaitReason.OPEN_RUNS_LIMIT;
        }
        if (!planner.isWithinLimit(step, count, at.manifest())) {
            return WaitReason.CUSTOMER_LIMIT;
        }
        return explainByWorkers(step, workers, at);
    }

    private WaitReason explainByWorkers(
            StepEntry step, Collection<WorkerRecord> workers, Moment at) {
        List<WorkerRecord> eligible =
                workers.stream().filter(w -> Placement.isEligible(step, w, at.now())).toList();
        if (eligible.isEmpty()) {
            return mainObstacle(step, workers, at.now());
        }
        if (!fits(step, eligible)) {
            return fitsBesideBegunRuns(step, eligible, at)
                    ? WaitReason.ROOM_HELD_BY_STARTS
                    : WaitReason.NO_ROOM;
        }
        List<WorkerRecord> allowed =
                eligible.stream()
                        .filter(w -> planner.isAllowedByIsolation(step, w, at.now()))
                        .toList();
        if (!fits(step, allowed)) {
            return WaitReason.ISOLATION;
        }
        List<WorkerRecord> notKeptFree =
                allowed.stream().filter(w -> !planner.isKeptFree(w)).toList();
        if (!fits(step, notKeptFree)) {
            return WaitReason.WORKER_KEPT_FREE;
        }
        return planner.waitsForRack(step, at.now())
                ? WaitReason.WAITS_FOR_RACK
                : WaitReason.NOT_PLANNED;
    }

    /** Returns the reason that holds for most workers, none of which may run the step. */
    private static WaitReason mainObstacle(
            StepEntry step, Collection<WorkerRecord> workers, long now) {
        Map<WaitReason, Integer> counts = new EnumMap<>(WaitReason.class);
        workers.forEach(
                w ->
                        counts.merge(
                                WaitReason.of(Placement.obstacle(step, w, now)), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(WaitReason.NO_WORKER);
    }

    private static boolean fits(StepEntry step, List<WorkerRecord> workers) {
        Resources footprint = step.spec().footprint();
        List<WorkerRecord> withRoom =
                workers.stream().filter(w -> w.hasRoomFor(footprint)).toList();
        int needed = StartPlanner.startedAtOnce(step);
        return Places.suffice(step, needed, footprint, withRoom, WorkerRecord::freeResources);
    }

    private static boolean fitsBesideBegunRuns(
            StepEntry step, List<WorkerRecord> workers, Moment at) {
        return Places.suffice(
                step,
                StartPlanner.startedAtOnce(step),
                step.spec().footprint(),
                workers,
                at::roomOn);
    }
}
