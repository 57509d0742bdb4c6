package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds back start orders until the store records what a new holder must know of the task: that its
 * step has begun, and which of its runs were lost in a crash of their worker.
 *
 * <p>When a holder is lost under load, its successor therefore knows which steps cannot have been
 * started. It starts these at once, even while some workers do not answer yet. When holders are
 * lost one after the other, each knows the crashes that its predecessors have seen.
 */
final class StartGate {

    private final JobLifecycle lifecycle;
    private final Function<Order, Optional<Run>> findRun;
    private final List<Order.Start> heldStarts = new ArrayList<>();

    /**
     * Creates a gate.
     *
     * @param findRun finds the run that an order refers to, if it is still open
     */
    StartGate(JobLifecycle lifecycle, Function<Order, Optional<Run>> findRun) {
        this.lifecycle = lifecycle;
        this.findRun = findRun;
    }

    /** Returns whether starts are held back until progress is stored. */
    boolean hasHeldStarts() {
        return !heldStarts.isEmpty();
    }

    /** Returns the starts that may be sent now, among new ones and those held back so far. */
    List<Order.Start> releaseReady(List<Order.Start> starts) {
        List<Order.Start> ready = new ArrayList<>();
        List<Order.Start> all = new ArrayList<>(heldStarts);
        all.addAll(starts);
        heldStarts.clear();
        for (Order.Start start : all) {
            Optional<Run> run = findRun.apply(start).filter(r -> r.phase() == Run.Phase.STARTING);
            if (run.isEmpty()) {
                // The job was cancelled, or the worker is gone.
                continue;
            }
            TaskEntry task = run.get().task();
            if (task.step().isBegunStored() && task.crashes().isStored()) {
                ready.add(start);
            } else {
                markBegun(task.step());
                heldStarts.add(start);
            }
        }
        return ready;
    }

    private void markBegun(StepEntry step) {
        if (!step.isBegun()) {
            step.markBegun();
            lifecycle.changedJobs().add(step.job());
        }
    }
}
