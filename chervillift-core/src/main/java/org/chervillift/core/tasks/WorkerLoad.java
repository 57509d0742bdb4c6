package org.chervillift.core.tasks;

/**
 * The load of a worker.
 *
 * @param finiteRuns the number of runs that end by themselves
 * @param longRunningRuns the number of runs that continue until their job is cancelled
 * @param usedMilliCores thousandths of a core that the runs occupy
 * @param unreachableMillis how long the worker has not answered calls, in milliseconds; 0 while it
 *     answers
 * @param known whether the holder knows all runs of the worker
 */
public record WorkerLoad(
        int finiteRuns,
        int longRunningRuns,
        long usedMilliCores,
        long unreachableMillis,
        boolean known) {

    /** The load of a worker without runs. */
    public static final WorkerLoad IDLE = new WorkerLoad(0, 0, 0, 0);

    /** Creates the load of a worker whose runs are all known. */
    public WorkerLoad(
            int finiteRuns, int longRunningRuns, long usedMilliCores, long unreachableMillis) {
        this(finiteRuns, longRunningRuns, usedMilliCores, unreachableMillis, true);
    }

    /** Returns this load for a worker that may have other runs, started by an earlier holder. */
    WorkerLoad withUnknownRuns() {
        return new WorkerLoad(
                finiteRuns, longRunningRuns, usedMilliCores, unreachableMillis, false);
    }

    /** Returns whether the worker surely has no runs. */
    public boolean isIdle() {
        return known && finiteRuns == 0 && longRunningRuns == 0;
    }
}
