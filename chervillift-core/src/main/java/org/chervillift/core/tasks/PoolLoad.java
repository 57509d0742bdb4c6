package org.chervillift.core.tasks;

/**
 * What a pool is asked for.
 *
 * @param runningMilliCores thousandths of a core that runs take
 * @param waitingMilliCores thousandths of a core that tasks ask for which could start now
 * @param capacityMilliCores thousandths of a core of the workers that take work
 * @param arrivingMilliCores the work that comes in a time, for that time, in thousandths of a core
 */
public record PoolLoad(
        long runningMilliCores,
        long waitingMilliCores,
        long capacityMilliCores,
        long arrivingMilliCores) {

    /** Returns what the pool could use now. */
    public long demandMilliCores() {
        return runningMilliCores + waitingMilliCores;
    }

    /** Returns whether tasks wait for room. */
    public boolean isShortOfCapacity() {
        return waitingMilliCores > 0;
    }
}
