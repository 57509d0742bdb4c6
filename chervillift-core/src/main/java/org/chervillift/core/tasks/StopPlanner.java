package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/** Decides which orders to stop runs are sent now, and repeats orders without effect. */
final class StopPlanner {

    private static final long STOP_RETRY_MILLIS = 400;

    private final Consumer<SchedulerEvent> events;

    StopPlanner(Consumer<SchedulerEvent> events) {
        this.events = events;
    }

    List<Order> planStops(Collection<WorkerRecord> workers, long now) {
        List<Order> orders = new ArrayList<>();
        for (WorkerRecord worker : workers) {
            for (Run run : worker.runs()) {
                if (worker.hasReported() && isDue(run, now)) {
                    run.markStopSent(now);
                    events.accept(SchedulerEvent.of(SchedulerEvent.Kind.STOP, run, ""));
                    orders.add(new Order.Stop(worker.id(), run.task().id(), run.number()));
                }
            }
        }
        return orders;
    }

    private static boolean isDue(Run run, long now) {
        return run.phase() == Run.Phase.STOPPING
                && !run.stopConfirmedBefore(now)
                && now - STOP_RETRY_MILLIS >= run.stopSentAt();
    }
}
