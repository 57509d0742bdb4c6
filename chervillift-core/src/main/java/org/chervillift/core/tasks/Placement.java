package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.tasks.StepSpec;

/**
 * Chooses the worker of a task.
 *
 * <p>Answers a pool in which large tasks find no room beside many small ones: a task goes where it
 * leaves the least behind, near its data if it can. Tasks that serve users are spread instead.
 */
final class Placement {

    private static final long MIN_REMAINING_LEASE_MILLIS = 1_000;

    private Placement() {}

    /**
     * Chooses a worker.
     *
     * @param pool the workers of the pool
     * @param reserved workers kept for tasks that go first
     */
    static Optional<WorkerRecord> choose(
            TaskEntry task, Collection<WorkerRecord> pool, Set<WorkerRecord> reserved, long now) {
        StepEntry step = task.step();
        return pool.stream()
                .filter(w -> !reserved.contains(w))
                .filter(w -> isEligible(step, w, now))
                .filter(w -> step.spec().footprint().fitsIn(w.freeResources()))
                .min(preference(task));
    }

    /** Returns whether a worker may run tasks of a step, if it has room. */
    static boolean isEligible(StepEntry step, WorkerRecord worker, long now) {
        StepSpec spec = step.spec();
        return worker.acceptsTasks(now)
                && worker.leaseEndsAt() > now + MIN_REMAINING_LEASE_MILLIS
                && hasLabel(spec, worker)
                && isAdvised(step, worker, now)
                && (spec.maxPerWorker() == 0 || step.runsOn(worker) < spec.maxPerWorker());
    }

    private static boolean isAdvised(StepEntry step, WorkerRecord worker, long now) {
        return !step.job().policy().advised()
                || step.advice().ticketFor(worker.id(), now).isPresent();
    }

    private static boolean hasLabel(StepSpec spec, WorkerRecord worker) {
        return spec.requiredLabel().isEmpty()
                || worker.entry().labels().contains(spec.requiredLabel());
    }

    private static Comparator<WorkerRecord> preference(TaskEntry task) {
        StepSpec spec = task.step().spec();
        Comparator<WorkerRecord> tried =
                Comparator.comparing(w -> task.failedWorkers().contains(w.id()));
        Comparator<WorkerRecord> near =
                Comparator.comparing(
                        w -> !spec.dataRack().isEmpty() && !w.rack().equals(spec.dataRack()));
        Comparator<WorkerRecord> apart =
                Comparator.comparing(w -> spec.fillsSpareCapacity() && w.servesUsers());
        Comparator<WorkerRecord> sameRack =
                Comparator.comparingLong(
                        w -> spec.tightlyCoupled() ? -task.step().runsInRack(w.rack()) : 0);
        Comparator<WorkerRecord> room =
                Comparator.comparingLong(w -> w.freeResources().milliCores());
        return tried.thenComparing(near)
                .thenComparing(apart)
                .thenComparing(sameRack)
                .thenComparing(spec.longRunning() ? room.reversed() : room)
                .thenComparing(WorkerRecord::id);
    }
}
