package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.chervillift.api.tasks.Resources;

/** Finds room for the urgent tasks of one pool at one moment: by waiting, or by stopping runs. */
final class PreemptionRound {

    private final List<ExpectedEnd> ends = new ArrayList<>();
    private final Map<WorkerRecord, List<Victim>> victims = new HashMap<>();
    private final Set<Run> claimed;

    /**
     * When a run is expected to end.
     *
     * @param at the time in milliseconds
     */
    record ExpectedEnd(Run run, long at) {}

    /**
     * A run that may be stopped.
     *
     * @param lostWork the work that is lost, in thousandths of a core times milliseconds
     * @param latestStart until when its task must start anew to meet its objective; the time is far
     *     ahead if the run will miss it anyway
     */
    record Victim(Run run, double lostWork, long latestStart) {}

    /** Runs of one worker whose stop makes room. */
    private record Option(List<Victim> victims) {

        List<Run> runs() {
            return victims.stream().map(Victim::run).toList();
        }

        double lostWork() {
            return victims.stream().mapToDouble(Victim::lostWork).sum();
        }
    }

    /**
     * Creates a round.
     *
     * @param claimed the runs whose room other urgent tasks wait for
     */
    PreemptionRound(List<ExpectedEnd> expectedEnds, List<Victim> mayStop, Set<Run> claimed) {
        ends.addAll(expectedEnds);
        ends.sort(Comparator.comparingLong(ExpectedEnd::at));
        mayStop.stream()
                .sorted(Comparator.comparingDouble(Victim::lostWork))
                .forEach(
                        v ->
                                victims.computeIfAbsent(v.run().worker(), w -> new ArrayList<>())
                                        .add(v));
        this.claimed = new HashSet<>(claimed);
    }

    /**
     * Returns whether a task finds room in time by waiting for the end of a run for which no other
     * urgent task waits.
     *
     * @param usable whether a worker may run the task
     * @param latestStart until when the task must start, in milliseconds
     */
    boolean claimEndBefore(StepEntry step, Predicate<WorkerRecord> usable, long latestStart) {
        for (ExpectedEnd end : ends) {
            if (end.at() > latestStart) {
                return false;
            }
            WorkerRecord worker = end.run().worker();
            Resources room = worker.freeResources().plus(end.run().footprint());
            if (!claimed.contains(end.run())
                    && step.spec().footprint().fitsIn(room)
                    && usable.test(worker)) {
                claimed.add(end.run());
                return true;
            }
        }
        return false;
    }

    /**
     * Chooses the runs of one worker whose stop makes room for a task with the least lost work.
     *
     * @param backAt when the tasks of the runs can start again at the earliest, in milliseconds
     */
    List<Run> claimStops(StepEntry step, Predicate<WorkerRecord> usable, long backAt) {
        Optional<Option> best =
                victims.entrySet().stream()
                        .filter(e -> usable.test(e.getKey()))
                        .flatMap(e -> optionOn(e.getKey(), e.getValue(), step, backAt).stream())
                        .min(Comparator.comparingDouble(Option::lostWork));
        best.ifPresent(o -> claimed.addAll(o.runs()));
        return best.map(Option::runs).orElse(List.of());
    }

    private Optional<Option> optionOn(
            WorkerRecord worker, List<Victim> runsOfWorker, StepEntry step, long backAt) {
        Resources needed = step.spec().footprint();
        Resources room = worker.freeResources();
        List<Victim> stopped = new ArrayList<>();
        for (Victim victim : runsOfWorker) {
            if (claimed.contains(victim.run()) || victim.latestStart() < backAt) {
                continue;
            }
            room = room.plus(victim.run().footprint());
            stopped.add(victim);
            if (needed.fitsIn(room)) {
                return Optional.of(new Option(withoutUnneeded(stopped, needed, room)));
            }
        }
        return Optional.empty();
    }

    /** Leaves out runs, those that lose most first, without which there is room as well. */
    private static List<Victim> withoutUnneeded(
            List<Victim> stopped, Resources needed, Resources roomOfAll) {
        List<Victim> kept = new ArrayList<>(stopped);
        Resources room = roomOfAll;
        for (Victim victim : stopped.reversed()) {
            Resources less = room.minus(victim.run().footprint());
            if (needed.fitsIn(less)) {
                kept.remove(victim);
                room = less;
            }
        }
        return kept;
    }
}
