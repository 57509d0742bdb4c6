package org.chervillift.core.tasks;

import java.util.Collection;

/**
 * Decides which runs of a worker are stopped when the worker is drained for maintenance.
 *
 * <p>A wave may cover half of a pool while each of its VMs runs a task of the same service. A
 * long-running task is stopped only when another worker can take it at once: otherwise the service
 * would lack the task for as long as moving a VM takes, and no further task of it could be stopped.
 */
final class WorkerDrainer {

    private WorkerDrainer() {}

    /**
     * Stops runs of a worker.
     *
     * @param workers all workers
     * @param urgent whether runs that end by themselves are stopped as well, and long-running runs
     *     although no other worker can take their tasks yet
     */
    static void stopRuns(
            WorkerRecord worker, Collection<WorkerRecord> workers, boolean urgent, long now) {
        for (Run run : worker.runs()) {
            boolean canStop =
                    run.task().step().spec().longRunning()
                            ? canStopLongRunning(run, workers, urgent, now)
                            : urgent;
            if (canStop && run.phase() == Run.Phase.RUNNING) {
                run.enterPhase(Run.Phase.STOPPING, now);
            }
        }
    }

    private static boolean canStopLongRunning(
            Run run, Collection<WorkerRecord> workers, boolean urgent, long now) {
        return run.task().step().canStopOneMore(run)
                && (urgent || hasReplacement(run, workers, now));
    }

    /** Returns whether another worker could take the task of a run besides those that wait. */
    private static boolean hasReplacement(Run run, Collection<WorkerRecord> workers, long now) {
        StepEntry step = run.task().step();
        long replacements =
                workers.stream()
                        .filter(w -> w != run.worker() && w.pool().equals(run.worker().pool()))
                        .filter(w -> Placement.canTake(step, w, now))
                        .count();
        return replacements > step.countNotRunning();
    }
}
