package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;

/**
 * Tells how much work comes to each pool.
 *
 * <p>Answers a surge that begins: the work that comes in a second is, in cores, what the pool will
 * be asked for all the time once the first jobs have been running for as long as they take. It
 * shows that before the tasks that run or wait do.
 */
final class ArrivalRates {

    /** The time over which the rate is smoothed. */
    private static final double SMOOTHING_MILLIS = 1_000;

    private final Map<String, Rate> ratesByPool = new HashMap<>();

    /**
     * A smoothed rate.
     *
     * @param milliCores work for each time, in thousandths of a core
     * @param updatedAt when it was last taken, in milliseconds
     */
    private record Rate(double milliCores, long updatedAt) {

        double decayedAt(long now) {
            return milliCores * Math.exp(-Math.max(0, now - updatedAt) / SMOOTHING_MILLIS);
        }
    }

    /**
     * Notes a job; one that runs later, or until it is cancelled, says nothing about the next ones.
     *
     * @param work its work, in thousandths of a core times milliseconds
     * @param arrivedAt when it came, in milliseconds
     */
    void recordArrival(JobEntry job, double work, long arrivedAt, long now) {
        JobSpec spec = job.job().spec();
        boolean lasts = spec.steps().stream().anyMatch(StepSpec::longRunning);
        if (lasts || !spec.schedule().equals(Schedule.ONCE)) {
            return;
        }
        double share = new Rate(work / SMOOTHING_MILLIS, arrivedAt).decayedAt(now);
        ratesByPool.merge(
                job.policy().pool(),
                new Rate(share, now),
                (before, added) -> new Rate(before.decayedAt(now) + added.milliCores(), now));
    }

    /** Returns the work that comes to a pool, in thousandths of a core. */
    long arrivingMilliCores(String pool, long now) {
        Rate rate = ratesByPool.get(pool);
        return rate == null ? 0 : Math.round(rate.decayedAt(now));
    }
}
