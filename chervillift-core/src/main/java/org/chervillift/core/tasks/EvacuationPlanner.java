package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Resources;

/**
 * Decides which runs of evacuated data centres are stopped, so that their tasks move.
 *
 * <p>An evacuation may cover a third of the workers of each service at once. Long-running tasks
 * would stay there. They move a few at a time, as many as their step allows to be down, and only
 * while other workers have places for all that would then wait. Runs that end by themselves go on.
 * A start whose outcome is unknown is stopped: the worker may carry it out long after the
 * evacuation began.
 */
final class EvacuationPlanner {

    private final Evacuation evacuation;
    private final StopPlanner stopPlanner;
    private final Consumer<SchedulerEvent> events;

    EvacuationPlanner(
            Evacuation evacuation, StopPlanner stopPlanner, Consumer<SchedulerEvent> events) {
        this.evacuation = evacuation;
        this.stopPlanner = stopPlanner;
        this.events = events;
    }

    /**
     * Returns the orders to stop runs on workers of evacuated data centres.
     *
     * @param workers all workers, of which the waiting tasks already have what room they can get
     */
    List<Order> planStops(Collection<WorkerRecord> workers, long now) {
        if (evacuation.isNone()) {
            return List.of();
        }
        stopRuns(workers, now);
        return stopPlanner.planStops(workers, now);
    }

    private void stopRuns(Collection<WorkerRecord> workers, long now) {
        Map<StepEntry, List<Run>> longRunning = new LinkedHashMap<>();
        for (WorkerRecord worker : workers) {
            if (worker.isEvacuated()) {
                worker.runs().stream()
                        .filter(r -> r.phase() == Run.Phase.UNCERTAIN)
                        .forEach(r -> stopUncertain(r, now));
                worker.runs().stream()
                        .filter(EvacuationPlanner::isLongRunning)
                        .forEach(r -> runsOf(r.task().step(), longRunning).add(r));
            }
        }
        if (!longRunning.isEmpty()) {
            move(longRunning, workers, now);
        }
    }

    private static boolean isLongRunning(Run run) {
        return run.phase() == Run.Phase.RUNNING && run.task().step().spec().longRunning();
    }

    private static List<Run> runsOf(StepEntry step, Map<StepEntry, List<Run>> runs) {
        return runs.computeIfAbsent(step, s -> new ArrayList<>());
    }

    private static void stopUncertain(Run run, long now) {
        StepEntry step = run.task().step();
        List<Run> stopped = step.spec().gang() ? step.runs().toList() : List.of(run);
        stopped.forEach(r -> r.enterPhase(Run.Phase.STOPPING, now));
    }

    private void move(Map<StepEntry, List<Run>> runs, Collection<WorkerRecord> workers, long now) {
        Map<String, List<WorkerRecord>> pools =
                workers.stream().collect(Collectors.groupingBy(WorkerRecord::pool));
        Map<WorkerRecord, Resources> room = new HashMap<>();
        runs.forEach(
                (step, candidates) -> {
                    String name = step.job().policy().pool();
                    List<WorkerRecord> pool = pools.getOrDefault(name, List.of());
                    FreePlaces places = new FreePlaces(step, pool, room, now);
                    if (step.spec().gang()) {
                        moveGang(step, places, now);
                    } else {
                        moveTasks(step, candidates, places, now);
                    }
                });
    }

    /** Moves runs of a step, those first that do not serve fully and so are down already. */
    private void moveTasks(StepEntry step, List<Run> runs, FreePlaces places, long now) {
        if (!places.take(step.countNotRunning())) {
            return;
        }
        runs.sort(Comparator.comparing(r -> StepEntry.isFullyRunning(r.task())));
        for (Run run : runs) {
            if (!mayStop(run) || !places.take(1)) {
                return;
            }
            stop(run, now);
        }
    }

    /** Returns whether a run may be stopped; one at a time if the step states no limit. */
    private static boolean mayStop(Run run) {
        StepEntry step = run.task().step();
        boolean statesLimit = step.spec().mayMiss() > 0;
        return step.canStopOneMore(run) && (statesLimit || step.countNotRunning() == 0);
    }

    /** Moves a gang as a whole, if all of it may be down and has places elsewhere. */
    private void moveGang(StepEntry gang, FreePlaces places, long now) {
        List<Run> all = gang.runs().toList();
        int count = gang.tasks().count();
        int mayMiss = gang.spec().mayMiss();
        boolean mayBeDown = mayMiss == 0 || mayMiss >= count;
        boolean allRun =
                all.size() == count && all.stream().allMatch(r -> r.phase() == Run.Phase.RUNNING);
        if (mayBeDown && allRun && places.take(count)) {
            all.forEach(r -> stop(r, now));
        }
    }

    private void stop(Run run, long now) {
        run.enterPhase(Run.Phase.STOPPING, now);
        events.accept(
                SchedulerEvent.of(
                        SchedulerEvent.Kind.EVACUATED,
                        run,
                        "dataCentre=" + run.worker().entry().dataCentre()));
    }

    /** The free places for tasks of a step; steps that move at the same time share the room. */
    private static final class FreePlaces {

        private final StepEntry step;
        private final Map<WorkerRecord, Resources> room;
        private final Iterator<WorkerRecord> eligible;
        private WorkerRecord current;
        private long onCurrent;

        /**
         * Creates the places on workers of a pool.
         *
         * @param room the room that is left on the workers of which places were taken
         */
        FreePlaces(
                StepEntry step,
                List<WorkerRecord> pool,
                Map<WorkerRecord, Resources> room,
                long now) {
            this.step = step;
            this.room = room;
            this.eligible =
                    pool.stream().filter(w -> Placement.isEligible(step, w, now)).iterator();
        }

        /** Takes a number of places; returns false if there are not as many. */
        boolean take(long count) {
            for (long i = 0; i < count; i++) {
                if (!takeOne()) {
                    return false;
                }
            }
            return true;
        }

        private boolean takeOne() {
            Resources size = step.spec().footprint();
            while (current == null || !hasPlace(size)) {
                if (!eligible.hasNext()) {
                    return false;
                }
                current = eligible.next();
                onCurrent = step.runsOn(current);
            }
            room.put(current, roomOn(current).minus(size));
            onCurrent++;
            return true;
        }

        private boolean hasPlace(Resources size) {
            int maximum = step.spec().maxPerWorker();
            return (maximum == 0 || onCurrent < maximum) && size.fitsIn(roomOn(current));
        }

        private Resources roomOn(WorkerRecord worker) {
            return room.computeIfAbsent(worker, WorkerRecord::freeResources);
        }
    }
}
