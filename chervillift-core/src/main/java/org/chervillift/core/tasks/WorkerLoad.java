package org.chervillift.core.tasks;

/**
 * What a worker runs.
 *
 * @param finiteRuns runs that end by themselves
 * @param longRunningRuns runs that go on until their job is cancelled
 * @param usedMilliCores thousandths of a core that the runs take
 * @param unreachableMillis for how long it has answered no call, in milliseconds; 0 if it answers
 */
public record WorkerLoad(
        int finiteRuns, int longRunningRuns, long usedMilliCores, long unreachableMillis) {

    /** The load of a worker that runs nothing. */
    public static final WorkerLoad IDLE = new WorkerLoad(0, 0, 0, 0);

    /** Returns whether nothing runs. */
    public boolean isIdle() {
        return finiteRuns == 0 && longRunningRuns == 0;
    }
}
