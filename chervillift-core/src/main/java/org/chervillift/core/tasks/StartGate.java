package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds back the first start orders of a step until the store records that the step has begun.
 *
 * <p>When a holder is lost under load, its successor therefore knows which steps cannot have been
 * started. It starts these at once, even while some workers do not answer yet.
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

    /** Returns whether starts are held back until their steps are stored as begun. */
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
            StepEntry step = run.get().task().step();
            if (step.isBegunStored()) {
                ready.add(start);
            } else {
                markBegun(step);
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
