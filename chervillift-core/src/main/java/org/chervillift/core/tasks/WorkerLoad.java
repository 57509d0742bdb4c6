package org.chervillift.core.tasks;

/**
 * The load of a worker.
 *
 * @param finiteRuns the number of runs that end by themselves
 * @param longRunningRuns the number of runs that continue until their job is cancelled
 * @param usedMilliCores thousandths of a core that the runs occupy
 * @param unreachableMillis how long the worker has not answered calls, in milliseconds; 0 while it
 *     answers
 */
public record WorkerLoad(
        int finiteRuns, int longRunningRuns, long usedMilliCores, long unreachableMillis) {

    /** The load of a worker without runs. */
    public static final WorkerLoad IDLE = new WorkerLoad(0, 0, 0, 0);

    /** Returns whether the worker has no runs. */
    public boolean isIdle() {
        return finiteRuns == 0 && longRunningRuns == 0;
    }
}
