package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Throttles tasks that fill spare capacity on workers where they slow tasks that serve users.
 *
 * <p>The interference changes within seconds: the share is halved while a tail latency is close to
 * or above its target, and raised in small steps once the tail is well below it.
 */
final class PaceControl {

    private static final int FULL_PERCENT = 100;
    private static final int MIN_PERCENT = 10;
    private static final int RAISE_STEP_PERCENT = 10;
    private static final double LOWER_ABOVE_TAIL_RATIO = 0.95;
    private static final double RAISE_BELOW_TAIL_RATIO = 0.7;
    private static final long MIN_LOWER_INTERVAL_MILLIS = 500;
    private static final long MIN_RAISE_INTERVAL_MILLIS = 1_500;

    private final Map<String, Share> sharesByWorker = new HashMap<>();
    private final Consumer<SchedulerEvent> events;

    PaceControl(Consumer<SchedulerEvent> events) {
        this.events = events;
    }

    /**
     * The share of full speed that a worker's capacity-filling tasks may use.
     *
     * @param percent the share in percent
     * @param setAt when it was set, in milliseconds
     */
    private record Share(int percent, long setAt) {}

    /** Returns the orders that set capacity-filling tasks to the share of their worker. */
    List<Order> decide(Collection<WorkerRecord> workers, long now) {
        List<Order> orders = new ArrayList<>();
        for (WorkerRecord worker : workers) {
            List<Run> filling =
                    worker.runs().stream()
                            .filter(r -> r.phase() == Run.Phase.RUNNING)
                            .filter(r -> r.task().step().spec().fillsSpareCapacity())
                            .toList();
            if (filling.isEmpty()) {
                sharesByWorker.remove(worker.id());
                continue;
            }
            int percent = updatedSharePercent(worker, now);
            for (Run run : filling) {
                if (run.pacePercent() != percent && run.canSendPace(now)) {
                    run.markPaceSent(now);
                    events.accept(
                            SchedulerEvent.of(SchedulerEvent.Kind.PACE, run, "percent=" + percent));
                    orders.add(new Order.Pace(worker.id(), run.task().id(), run.number(), percent));
                }
            }
        }
        return orders;
    }

    private int updatedSharePercent(WorkerRecord worker, long now) {
        double worstRatio = worstTailRatio(worker);
        Share share = sharesByWorker.getOrDefault(worker.id(), new Share(FULL_PERCENT, 0));
        if (worstRatio < 0) {
            share = new Share(FULL_PERCENT, now);
        } else if (worstRatio > LOWER_ABOVE_TAIL_RATIO
                && now - share.setAt() >= MIN_LOWER_INTERVAL_MILLIS) {
            int half = share.percent() / 2;
            share = new Share(half < MIN_PERCENT ? 0 : half, now);
        } else if (worstRatio < RAISE_BELOW_TAIL_RATIO
                && share.percent() < FULL_PERCENT
                && now - share.setAt() >= MIN_RAISE_INTERVAL_MILLIS) {
            share = new Share(Math.min(FULL_PERCENT, share.percent() + RAISE_STEP_PERCENT), now);
        }
        sharesByWorker.put(worker.id(), share);
        return share.percent();
    }

    /**
     * Returns the highest ratio of a tail latency to its target, or a negative number if no task on
     * the worker serves users.
     */
    private static double worstTailRatio(WorkerRecord worker) {
        return worker.runs().stream()
                .filter(r -> r.task().step().spec().serves())
                .mapToDouble(r -> r.gauge() / r.task().step().spec().tailTargetMillis())
                .max()
                .orElse(-1);
    }
}
