package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Holds the first starts of a step back until it is stored that the step has begun.
 *
 * <p>Answers the loss of a holder under load: its successor knows which steps cannot have been
 * started, and starts them at once, although some workers do not answer yet.
 */
final class StartGate {

    private final JobLifecycle lifecycle;
    private final Function<Order, Optional<Run>> findRun;
    private final List<Order.Start> heldStarts = new ArrayList<>();

    /**
     * Creates a gate.
     *
     * @param runs finds the run that an order is about, if it is still open
     */
    StartGate(JobLifecycle ends, Function<Order, Optional<Run>> runs) {
        this.lifecycle = ends;
        this.findRun = runs;
    }

    /** Returns whether starts wait for their steps to be stored. */
    boolean hasHeldStarts() {
        return !heldStarts.isEmpty();
    }

    /** Returns the starts that may be sent now, of the new ones and of those held back before. */
    List<Order.Start> releaseReady(List<Order.Start> starts) {
        List<Order.Start> open = new ArrayList<>();
        List<Order.Start> all = new ArrayList<>(heldStarts);
        all.addAll(starts);
        heldStarts.clear();
        for (Order.Start start : all) {
            Optional<Run> run = findRun.apply(start).filter(r -> r.phase() == Run.Phase.STARTING);
            if (run.isEmpty()) {
                // The task was withdrawn, or its worker is gone.
                continue;
            }
            StepEntry step = run.get().task().step();
            if (step.isBegunStored()) {
                open.add(start);
            } else {
                markBegun(step);
                heldStarts.add(start);
            }
        }
        return open;
    }

    private void markBegun(StepEntry step) {
        if (!step.isBegun()) {
            step.markBegun();
            lifecycle.changedJobs().add(step.job());
        }
    }
}
