package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import org.chervillift.api.tasks.Manifest;

/**
 * Decides which runs are stopped, for all causes, and sends the orders.
 *
 * <p>Runs that stand still and starts without an answer are stopped before starts are planned,
 * since their tasks may start elsewhere. Urgent work and evacuations stop runs after that, once the
 * tasks that wait have the room that they can get.
 */
final class RunStops {

    private final StartPlanner startPlanner;
    private final StopPlanner stopPlanner;
    private final StalledRunDetector stalledRuns;
    private final UnansweredStartDetector unansweredStarts;
    private final PreemptionPlanner preemption;
    private final EvacuationPlanner evacuation;

    RunStops(
            StartPlanner startPlanner,
            PreemptionPlanner preemption,
            Evacuation evacuation,
            Consumer<SchedulerEvent> events) {
        this.startPlanner = startPlanner;
        this.preemption = preemption;
        this.stopPlanner = new StopPlanner(events);
        this.stalledRuns = new StalledRunDetector(events);
        this.unansweredStarts = new UnansweredStartDetector(events);
        this.evacuation = new EvacuationPlanner(evacuation, stopPlanner, events);
    }

    /** Returns the orders to stop runs that do not depend on what starts. */
    List<Order> planBeforeStarts(Collection<WorkerRecord> workers, long now) {
        stalledRuns.check(workers, now);
        unansweredStarts.check(workers, now);
        return new ArrayList<>(stopPlanner.planStops(workers, now));
    }

    /** Returns the orders to stop runs for tasks that found no room, and in evacuations. */
    List<Order> planAfterStarts(Collection<WorkerRecord> workers, Manifest manifest, long now) {
        List<Order> orders = new ArrayList<>();
        if (preemption.stopRuns(startPlanner.blockedUrgent(), workers, manifest, now)) {
            orders.addAll(stopPlanner.planStops(workers, now));
        }
        orders.addAll(evacuation.planStops(workers, now));
        return orders;
    }
}
