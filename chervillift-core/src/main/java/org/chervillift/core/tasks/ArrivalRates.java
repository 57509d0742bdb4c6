package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;

/**
 * The rate at which work arrives at each pool.
 *
 * <p>Detects the start of a surge early: work arriving per second, in core seconds, equals the
 * number of cores that the pool will need in steady state, once jobs end as fast as they arrive.
 * Running and waiting tasks show this demand only later.
 */
final class ArrivalRates {

    /** The time over which the rate is smoothed. */
    private static final double SMOOTHING_MILLIS = 1_000;

    private final Map<String, Rate> ratesByPool = new HashMap<>();

    /**
     * An exponentially smoothed rate.
     *
     * @param milliCores work per unit of time, in thousandths of a core
     * @param updatedAt when the rate was last updated, in milliseconds
     */
    private record Rate(double milliCores, long updatedAt) {

        double decayedAt(long now) {
            return milliCores * Math.exp(-Math.max(0, now - updatedAt) / SMOOTHING_MILLIS);
        }
    }

    /**
     * Records the arrival of a job. Scheduled and long-running jobs are ignored, as they do not
     * indicate that more jobs follow.
     *
     * @param work the work of the job, in thousandths of a core times milliseconds
     * @param arrivedAt when the job arrived, in milliseconds
     */
    void recordArrival(JobEntry job, double work, long arrivedAt, long now) {
        JobSpec spec = job.job().spec();
        boolean longRunning = spec.steps().stream().anyMatch(StepSpec::longRunning);
        if (longRunning || !spec.schedule().equals(Schedule.ONCE)) {
            return;
        }
        double rateOfJob = new Rate(work / SMOOTHING_MILLIS, arrivedAt).decayedAt(now);
        ratesByPool.merge(
                job.policy().pool(),
                new Rate(rateOfJob, now),
                (before, added) -> new Rate(before.decayedAt(now) + added.milliCores(), now));
    }

    /** Returns the work that arrives at a pool per unit of time, in thousandths of a core. */
    long arrivingMilliCores(String pool, long now) {
        Rate rate = ratesByPool.get(pool);
        return rate == null ? 0 : Math.round(rate.decayedAt(now));
    }
}
