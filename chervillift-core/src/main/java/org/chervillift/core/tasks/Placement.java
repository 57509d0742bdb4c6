package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.chervillift.api.tasks.StepSpec;

/**
 * Chooses the worker of a task.
 *
 * <p>Best fit keeps room for large tasks in a pool with many small ones: among equal workers, a
 * task goes to the one with the least free cores. Workers in the rack of the task's data come
 * first. A clearly slower worker comes after all others, unless a run that is away from its data
 * takes longer still. Long-running tasks are spread instead: they go to the worker with the most
 * free cores, and avoid workers that a maintenance wave is about to drain, so that they are stopped
 * once only. Tasks that were on a worker when it crashed are kept apart from each other.
 */
final class Placement {

    private static final long MIN_REMAINING_LEASE_MILLIS = 1_000;

    private Placement() {}

    /**
     * Chooses a worker.
     *
     * @param pool the workers of the pool
     * @param usable whether a worker is not kept free for another task
     * @param racks what a run away from its rack costs, and the racks that come first
     */
    static Optional<WorkerRecord> choose(
            TaskEntry task,
            Collection<WorkerRecord> pool,
            Predicate<WorkerRecord> usable,
            RackPreference racks,
            long now) {
        StepEntry step = task.step();
        return pool.stream()
                .filter(w -> canTake(step, w, now))
                .filter(usable)
                .min(preference(task, racks));
    }

    /** Returns whether a worker may run a task of a step, and has the capacity for it now. */
    static boolean canTake(StepEntry step, WorkerRecord worker, long now) {
        return worker.hasRoomFor(step.spec().footprint()) && isEligible(step, worker, now);
    }

    /** Returns whether a worker may run tasks of a step, provided that it has the capacity. */
    static boolean isEligible(StepEntry step, WorkerRecord worker, long now) {
        return obstacle(step, worker, now) == WorkerObstacle.NONE;
    }

    /** Returns why a worker may not run tasks of a step, whatever its free capacity. */
    static WorkerObstacle obstacle(StepEntry step, WorkerRecord worker, long now) {
        WorkerObstacle besideAdvice = obstacleBesideAdvice(step, worker, now);
        if (besideAdvice != WorkerObstacle.NONE) {
            return besideAdvice;
        }
        return isAdvised(step, worker, now) ? WorkerObstacle.NONE : WorkerObstacle.NO_ADVICE;
    }

    /** Returns why a worker may not run tasks of a step even if the advice service allows it. */
    static WorkerObstacle obstacleBesideAdvice(StepEntry step, WorkerRecord worker, long now) {
        WorkerObstacle ofWorker = worker.obstacle(now);
        if (ofWorker != WorkerObstacle.NONE) {
            return ofWorker;
        }
        if (worker.leaseEndsAt() <= now + MIN_REMAINING_LEASE_MILLIS) {
            return WorkerObstacle.SHORT_LEASE;
        }
        if (!hasLabel(step.spec(), worker)) {
            return WorkerObstacle.LABEL_MISSING;
        }
        return isBelowMaximum(step, worker) ? WorkerObstacle.NONE : WorkerObstacle.MAX_PER_WORKER;
    }

    /** Returns whether one more task of a step may run on a worker beside those that do. */
    static boolean isBelowMaximum(StepEntry step, WorkerRecord worker) {
        int maximum = step.spec().maxPerWorker();
        return maximum == 0 || step.runsOn(worker) < maximum;
    }

    private static boolean isAdvised(StepEntry step, WorkerRecord worker, long now) {
        return !step.job().policy().advised()
                || step.advice().ticketFor(worker.id(), now).isPresent();
    }

    static boolean hasLabel(StepSpec spec, WorkerRecord worker) {
        return spec.requiredLabel().isEmpty()
                || worker.entry().labels().contains(spec.requiredLabel());
    }

    /**
     * Compares workers for a task under which a worker has crashed: the tasks that were under the
     * same crash go to different workers, so that a second crash shows which of them caused both.
     */
    private static Comparator<WorkerRecord> apartFromSuspects(TaskEntry task) {
        if (!task.crashes().isSuspect()) {
            return (a, b) -> 0;
        }
        return Comparator.comparingLong(WorkerRecord::suspectRuns)
                .thenComparing(WorkerRecord::hasLongRunningRuns)
                .thenComparing(w -> w.runs().size());
    }

    /** Returns whether a worker is not in the rack of a task's data. */
    static boolean isAwayFromData(StepSpec spec, WorkerRecord worker) {
        return !spec.dataRack().isEmpty() && !worker.rack().equals(spec.dataRack());
    }

    private static Comparator<WorkerRecord> preference(TaskEntry task, RackPreference racks) {
        StepSpec spec = task.step().spec();
        Comparator<WorkerRecord> failedHere =
                Comparator.comparing(
                        w ->
                                task.failedWorkers().contains(w.id())
                                        || task.crashes().hasCrashedOn(w.entry().vm()));
        Comparator<WorkerRecord> awayFromData = Comparator.comparing(w -> isAwayFromData(spec, w));
        Comparator<WorkerRecord> rackPosition =
                Comparator.comparingInt(w -> racks.positionOf(w.rack()));
        Comparator<WorkerRecord> runTime =
                Comparator.comparingDouble(
                        w -> w.slowness() * (isAwayFromData(spec, w) ? racks.remoteFactor() : 1));
        Comparator<WorkerRecord> besideUserTasks =
                Comparator.comparing(w -> spec.fillsSpareCapacity() && w.servesUsers());
        Comparator<WorkerRecord> soonDrained =
                Comparator.comparing(w -> spec.longRunning() && w.isMaintenanceDue());
        Comparator<WorkerRecord> coupledTasksInRack =
                Comparator.comparingLong(
                        w -> spec.tightlyCoupled() ? -task.step().runsInRack(w.rack()) : 0);
        Comparator<WorkerRecord> freeMilliCores =
                Comparator.comparingLong(w -> w.freeResources().milliCores());
        return failedHere
                .thenComparing(rackPosition)
                .thenComparing(runTime)
                .thenComparing(awayFromData)
                .thenComparing(soonDrained)
                .thenComparing(besideUserTasks)
                .thenComparing(coupledTasksInRack)
                .thenComparing(apartFromSuspects(task))
                .thenComparing(spec.longRunning() ? freeMilliCores.reversed() : freeMilliCores)
                .thenComparing(WorkerRecord::id);
    }
}
