package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;

/**
 * Estimates the rate at which work arrives at each pool.
 *
 * <p>Answers queues that surge in turn: a queue that was nearly idle suddenly receives many times
 * as many jobs, and receives few again some seconds later. Work arriving per second, in core
 * seconds, equals the number of cores that the pool will need in steady state, once jobs end as
 * fast as they arrive. Running and waiting tasks show this demand only later.
 *
 * <p>The rate is averaged over a window that is halved while its two halves differ by more than
 * chance explains. A step in the rate is thus detected within a few jobs, and a steady rate is
 * averaged over many.
 */
final class ArrivalRates {

    private static final long MAX_WINDOW_MILLIS = 2_000;
    private static final long MIN_WINDOW_MILLIS = 250;

    /**
     * The halves of a window differ when the squared difference of their job counts exceeds this
     * multiple of their sum, which is the variance of the difference at a constant rate.
     */
    private static final int SIGNIFICANT_VARIANCES = 3;

    private final Map<String, List<Arrival>> arrivalsByPool = new HashMap<>();

    /**
     * The arrival of a job.
     *
     * @param work the work of the job, in thousandths of a core times milliseconds
     * @param at when the job arrived, in milliseconds
     */
    private record Arrival(double work, long at) {}

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
        recentArrivals(job.policy().pool(), now).add(new Arrival(work, arrivedAt));
    }

    private List<Arrival> recentArrivals(String pool, long now) {
        List<Arrival> arrivals = arrivalsByPool.computeIfAbsent(pool, p -> new ArrayList<>());
        arrivals.removeIf(a -> a.at() <= now - MAX_WINDOW_MILLIS);
        return arrivals;
    }

    /** Returns the work that arrives at a pool per unit of time, in thousandths of a core. */
    long arrivingMilliCores(String pool, long now) {
        List<Arrival> arrivals = recentArrivals(pool, now);
        double meanWork = arrivals.stream().mapToDouble(Arrival::work).average().orElse(0);
        long window = currentRateWindowMillis(arrivals, now);
        return Math.round(meanWork * countSince(arrivals, now - window) / window);
    }

    /** Returns whether more jobs have arrived lately than before, by more than chance explains. */
    boolean isRising(String pool, long now) {
        List<Arrival> arrivals = recentArrivals(pool, now);
        long window = currentRateWindowMillis(arrivals, now);
        long newer = countSince(arrivals, now - window);
        long earlier = countSince(arrivals, now - 2 * window) - newer;
        return window < MAX_WINDOW_MILLIS && newer > earlier;
    }

    /** Returns the length of the window over which the rate seems to have been constant. */
    private static long currentRateWindowMillis(List<Arrival> arrivals, long now) {
        long window = MAX_WINDOW_MILLIS;
        while (window > MIN_WINDOW_MILLIS) {
            long count = countSince(arrivals, now - window);
            long newer = countSince(arrivals, now - window / 2);
            long difference = newer - (count - newer);
            if (difference * difference <= SIGNIFICANT_VARIANCES * count) {
                return window;
            }
            window /= 2;
        }
        return window;
    }

    private static long countSince(List<Arrival> arrivals, long since) {
        return arrivals.stream().filter(a -> a.at() > since).count();
    }
}
