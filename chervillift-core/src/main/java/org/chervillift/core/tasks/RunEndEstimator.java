package org.chervillift.core.tasks;

import org.chervillift.core.tasks.placement.RemainingTime;
import org.chervillift.core.tasks.placement.RoomForecast;

/**
 * Estimates how long runs take and when they end, from their queue, the speed of their worker, and
 * whether they are away from the rack of their data or of the tasks that they are coupled with.
 *
 * <p>{@link StopCostEstimator} estimates the remaining time from progress, to compare runs for
 * preemption.
 */
final class RunEndEstimator {

    private final RunTimeEstimator runTimes;
    private final double remoteFactor;
    private final long stopTimeoutMillis;

    RunEndEstimator(RunTimeEstimator runTimes, SchedulerSettings settings) {
        this.runTimes = runTimes;
        this.remoteFactor = settings.remoteFactor();
        this.stopTimeoutMillis = settings.stopTimeoutMillis();
    }

    /** Returns how many times as long tasks run away from their rack. */
    double remoteFactor() {
        return remoteFactor;
    }

    /** Returns the run time of a task near its data on a usual worker, in milliseconds. */
    long taskMillis(StepEntry step) {
        return runTimes.estimateMillis(step);
    }

    /** Returns by how much tasks take longer than that, as one deviation, in milliseconds. */
    long deviationMillis(StepEntry step) {
        return runTimes.deviationMillis(step.job().policy().queue(), taskMillis(step));
    }

    /** Returns the run time of a task that would start on a worker now, in milliseconds. */
    long newRunMillis(StepEntry step, WorkerRecord worker) {
        boolean away = Placement.isAwayFromData(step.spec(), worker);
        double factor = worker.speed().factor() * (away ? remoteFactor : 1);
        return Math.round(taskMillis(step) * factor);
    }

    /** Returns the whole time that a run is expected to take, in milliseconds; 0 if not known. */
    long runMillis(Run run) {
        double factor = placeFactor(run) * run.worker().speed().factor();
        return Math.round(taskMillis(run.task().step()) * factor);
    }

    /** Returns when a run is expected to end, in milliseconds; NEVER if that is not known. */
    long endsAt(Run run, long now) {
        if (run.phase() == Run.Phase.STOPPING) {
            return Math.max(now, run.phaseSince() + stopTimeoutMillis);
        }
        long remaining =
                RemainingTime.millis(runMillis(run), now - run.openedAt(), run.pacePercent());
        return remaining == RoomForecast.NEVER ? RoomForecast.NEVER : now + remaining;
    }

    /** Learns from a run that this holder started and that is done. */
    void recordDone(Run run, long now) {
        StepEntry step = run.task().step();
        double measured = (now - run.startedAt()) / placeFactor(run);
        if (!run.wasPaced()) {
            run.worker().speed().recordRun(measured, taskMillis(step));
        }
        runTimes.recordRunTime(
                step.job().policy().queue(), step.spec().estimatedMillis(), Math.round(measured));
    }

    private double placeFactor(Run run) {
        return remoteFactor > 1 && (isAwayFromData(run) || isApart(run)) ? remoteFactor : 1;
    }

    private static boolean isAwayFromData(Run run) {
        return Placement.isAwayFromData(run.task().step().spec(), run.worker());
    }

    /** Returns whether another run of a tightly coupled step is in another rack. */
    private static boolean isApart(Run run) {
        StepEntry step = run.task().step();
        String rack = run.worker().rack();
        return step.spec().tightlyCoupled()
                && step.runs().anyMatch(r -> !r.worker().rack().equals(rack));
    }
}
