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

    private final JobEnds ends;
    private final Function<Order, Optional<Run>> runs;
    private final List<Order.Start> held = new ArrayList<>();

    /**
     * Creates a gate.
     *
     * @param runs finds the run that an order is about, if it is still open
     */
    StartGate(JobEnds ends, Function<Order, Optional<Run>> runs) {
        this.ends = ends;
        this.runs = runs;
    }

    /** Returns whether starts wait for their steps to be stored. */
    boolean isHolding() {
        return !held.isEmpty();
    }

    /** Returns the starts that may be sent now, of the new ones and of those held back before. */
    List<Order.Start> pass(List<Order.Start> starts) {
        List<Order.Start> open = new ArrayList<>();
        List<Order.Start> all = new ArrayList<>(held);
        all.addAll(starts);
        held.clear();
        for (Order.Start start : all) {
            Optional<Run> run = runs.apply(start).filter(r -> r.phase() == Run.Phase.STARTING);
            if (run.isEmpty()) {
                // The task was withdrawn, or its worker is gone.
                continue;
            }
            StepEntry step = run.get().task().step();
            if (step.isBegunStored()) {
                open.add(start);
            } else {
                begin(step);
                held.add(start);
            }
        }
        return open;
    }

    private void begin(StepEntry step) {
        if (!step.isBegun()) {
            step.begin();
            ends.changed().add(step.job());
        }
    }
}
