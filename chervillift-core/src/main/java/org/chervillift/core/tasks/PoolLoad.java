package org.chervillift.core.tasks;

/**
 * The load and the capacity of a pool.
 *
 * @param runningMilliCores thousandths of a core that runs occupy
 * @param waitingMilliCores thousandths of a core requested by waiting tasks that could start now
 * @param capacityMilliCores thousandths of a core of the workers that accept tasks
 * @param arrivingMilliCores the work of newly arriving jobs per unit of time, in thousandths of a
 *     core
 * @param rising whether more jobs arrive than before, by more than chance explains
 */
public record PoolLoad(
        long runningMilliCores,
        long waitingMilliCores,
        long capacityMilliCores,
        long arrivingMilliCores,
        boolean rising) {

    /** Creates the load of a pool at which jobs arrive at a steady rate. */
    public PoolLoad(
            long runningMilliCores,
            long waitingMilliCores,
            long capacityMilliCores,
            long arrivingMilliCores) {
        this(runningMilliCores, waitingMilliCores, capacityMilliCores, arrivingMilliCores, false);
    }

    /** Returns the capacity that the pool could use now, in thousandths of a core. */
    public long demandMilliCores() {
        return runningMilliCores + waitingMilliCores;
    }

    /** Returns whether tasks wait for capacity. */
    public boolean isShortOfCapacity() {
        return waitingMilliCores > 0;
    }
}
