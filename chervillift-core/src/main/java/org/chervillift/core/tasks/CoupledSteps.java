package org.chervillift.core.tasks;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.StepSpec;

/** Compares racks for steps whose tasks are to be in one rack. */
final class CoupledSteps {

    private CoupledSteps() {}

    /** Returns whether the tasks of a step are to be in one rack. */
    static boolean belongsTogether(StepEntry step) {
        StepSpec spec = step.spec();
        boolean together = spec.tightlyCoupled() || spec.gang() && !spec.dataRack().isEmpty();
        return together && !spec.longRunning() && needed(step) > 1;
    }

    /** Returns how many tasks of a step are to start together. */
    static int needed(StepEntry step) {
        return step.spec().gang()
                ? step.tasks().count()
                : (int)
                        Math.min(
                                step.tasks().waitingCount(), JobSizeLimits.tasksThatMayBegin(step));
    }

    /** Returns how many places workers have now for tasks of a step, up to some. */
    static int placesNow(StepEntry step, int needed, List<WorkerRecord> workers) {
        Resources size = step.spec().footprint();
        List<WorkerRecord> withRoom = workers.stream().filter(w -> w.hasRoomFor(size)).toList();
        return Places.countUpTo(step, needed, size, withRoom, WorkerRecord::freeResources);
    }

    /** Returns whether a step may start now in some racks. */
    static boolean mayStartNow(StepEntry step, int needed, Map<String, Integer> places) {
        int all = places.values().stream().mapToInt(Integer::intValue).sum();
        return all >= (step.spec().gang() ? needed : 1);
    }

    /** Returns a rack that holds a step now: that of its data, or the one with the least room. */
    static Optional<String> smallestWhole(
            StepEntry step,
            int needed,
            Map<String, List<WorkerRecord>> racks,
            Map<String, Integer> places) {
        Comparator<String> awayFromData =
                Comparator.comparing(r -> !r.equals(step.spec().dataRack()));
        return places.keySet().stream()
                .filter(r -> places.get(r) >= needed && mayHoldWhole(step, r))
                .min(awayFromData.thenComparingLong(r -> freeMilliCores(racks.get(r))));
    }

    /** Returns whether a rack may be the one that holds a step. */
    static boolean mayHoldWhole(StepEntry step, String rack) {
        return step.spec().tightlyCoupled() || rack.equals(step.spec().dataRack());
    }

    private static long freeMilliCores(List<WorkerRecord> workers) {
        return workers.stream().mapToLong(w -> w.freeResources().milliCores()).sum();
    }

    /** Returns the racks that have places, the one with the most first. */
    static List<String> byPlaces(Map<String, Integer> places) {
        return places.entrySet().stream()
                .filter(e -> e.getValue() > 0)
                .sorted(Map.Entry.<String, Integer>comparingByValue().reversed())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether workers hold a step once all runs have ended that end by themselves. */
    static boolean holdsWhole(StepEntry step, int needed, List<WorkerRecord> workers) {
        return Places.suffice(
                step,
                needed,
                step.spec().footprint(),
                workers,
                WorkerRecord::capacityBesideLongRunning);
    }
}
