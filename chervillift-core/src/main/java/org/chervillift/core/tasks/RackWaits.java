package org.chervillift.core.tasks;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** The steps that wait for a place in a rack, from one plan of starts to the next. */
final class RackWaits {

    private final Consumer<SchedulerEvent> events;
    private final Set<StepEntry> startedInRack = new HashSet<>();

    /** The steps that wait by the last plan, and when the wait of each ends at the latest. */
    private Map<StepEntry, Long> waiting = new LinkedHashMap<>();

    private Map<StepEntry, Long> before = Map.of();

    RackWaits(Consumer<SchedulerEvent> events) {
        this.events = events;
    }

    /** Begins a plan of starts. */
    void beginRound() {
        startedInRack.clear();
        before = waiting;
        waiting = new LinkedHashMap<>();
    }

    /** Records that a step waits by this plan, until a time in milliseconds at the latest. */
    void add(StepEntry step, long endsAt) {
        waiting.put(step, endsAt);
    }

    /** Records that a task of a step starts in the rack that the step has waited for. */
    void recordStartInRack(StepEntry step) {
        startedInRack.add(step);
    }

    /** Returns whether a step waits by the last plan, and that wait has not reached its bound. */
    boolean isWaiting(StepEntry step, long now) {
        Long endsAt = waiting.get(step);
        return endsAt != null && now < endsAt;
    }

    /** Ends a plan of starts; reports the steps that wait no longer. */
    void endRound(long now) {
        before.keySet().stream()
                .filter(s -> !waiting.containsKey(s) && !s.job().isFinal())
                .forEach(s -> reportEnd(s, now));
    }

    private void reportEnd(StepEntry step, long now) {
        SchedulerEvent.Kind kind =
                startedInRack.contains(step)
                        ? SchedulerEvent.Kind.RACK_WAIT_PAID
                        : SchedulerEvent.Kind.RACK_WAIT_IN_VAIN;
        RackWaitState state = step.rackWait();
        events.accept(
                new SchedulerEvent(
                        kind,
                        step.job().id(),
                        step.job().id() + "." + step.occurrence() + "." + step.number(),
                        "",
                        "rack="
                                + state.rack()
                                + " waitedMillis="
                                + (now - state.since().orElse(now))));
    }
}
