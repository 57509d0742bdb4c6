package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.chervillift.api.tasks.Manifest;

/** Starts second runs beside runs that take very long, in room for which no task waits. */
final class CopyStarter {

    private final StartPlanner planner;
    private final RackPlanner racks;
    private final CopyPlanner copies;
    private final Consumer<SchedulerEvent> events;

    CopyStarter(StartPlanner planner, RackPlanner racks, Consumer<SchedulerEvent> events) {
        this.planner = planner;
        this.racks = racks;
        this.copies = new CopyPlanner(racks.runEnds());
        this.events = events;
    }

    /**
     * Opens the second runs that pay, once all waiting tasks have had their turn.
     *
     * @param pools the workers by pool
     * @param unknownPools the pools of the workers that may have runs which this holder does not
     *     know; one of them may be a copy
     */
    List<Order.Start> start(
            Collection<JobEntry> liveJobs,
            Map<String, List<WorkerRecord>> pools,
            Manifest manifest,
            Set<String> unknownPools,
            long now) {
        List<Run> late = copies.findLate(pools.values(), now);
        if (late.isEmpty()) {
            return List.of();
        }
        Set<String> busy = CopyPlanner.poolsWithWaitingTasks(liveJobs);
        List<Order.Start> orders = new ArrayList<>();
        for (Run run : late) {
            StepEntry step = run.task().step();
            String pool = step.job().policy().pool();
            boolean mayStart =
                    !busy.contains(pool)
                            && !step.begunPools().mayHaveBegunByPredecessor(unknownPools)
                            && planner.mayStartOneMore(step, manifest);
            if (mayStart) {
                start(run, pools.getOrDefault(pool, List.of()), now).ifPresent(orders::add);
            }
        }
        return orders;
    }

    private Optional<Order.Start> start(Run run, List<WorkerRecord> pool, long now) {
        TaskEntry task = run.task();
        if (!copies.hasShareFor(task.step(), pool, now)) {
            return Optional.empty();
        }
        Predicate<WorkerRecord> usable =
                w ->
                        !planner.isKeptFree(w)
                                && planner.isAllowedByIsolation(task, w, now)
                                && copies.isSooner(run, w, now);
        return Placement.choose(task, pool, usable, racks.anyRack(), now)
                .map(w -> start(run, w, now));
    }

    private Order.Start start(Run run, WorkerRecord worker, long now) {
        copies.recordCopy(run.task());
        events.accept(
                SchedulerEvent.of(
                        SchedulerEvent.Kind.COPY_STARTED,
                        run,
                        "ageMillis=" + (now - run.openedAt()) + " on=" + worker.id()));
        return planner.startRun(run.task(), worker, now);
    }
}
