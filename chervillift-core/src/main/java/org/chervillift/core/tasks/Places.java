package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.function.Function;
import org.chervillift.api.tasks.Resources;

/** Counts the places for tasks of a step on workers. */
final class Places {

    private Places() {}

    /**
     * Returns whether workers have places for a number of tasks of a step.
     *
     * @param size the room that each of them takes
     * @param room returns the room on a worker
     */
    static boolean suffice(
            StepEntry step,
            int needed,
            Resources size,
            Collection<WorkerRecord> workers,
            Function<WorkerRecord, Resources> room) {
        return countUpTo(step, needed, size, workers, room) >= needed;
    }

    /** Returns how many places workers have for tasks of a step, at most as many as needed. */
    static int countUpTo(
            StepEntry step,
            int needed,
            Resources size,
            Collection<WorkerRecord> workers,
            Function<WorkerRecord, Resources> room) {
        int places = 0;
        for (WorkerRecord worker : workers) {
            if (places >= needed) {
                return places;
            }
            int most = Math.min(needed - places, allowedMore(step, worker));
            places += countUpTo(most, size, room.apply(worker));
        }
        return places;
    }

    /** Returns how many more tasks of a step may run on a worker, by its own bound. */
    static int allowedMore(StepEntry step, WorkerRecord worker) {
        int maximum = step.spec().maxPerWorker();
        return maximum == 0 ? Integer.MAX_VALUE : (int) Math.max(0, maximum - step.runsOn(worker));
    }

    private static int countUpTo(int most, Resources size, Resources room) {
        int count = 0;
        while (count < most && size.times(count + 1L).fitsIn(room)) {
            count++;
        }
        return count;
    }
}
