package org.chervillift.core.tasks.placement;

import java.util.Arrays;

/**
 * Learns how much longer than expected runs take on one worker.
 *
 * <p>The load that it addresses: servers of one pool that differ in speed. The mean is one of
 * logarithms, since an expectation is wrong by a factor.
 */
public final class WorkerSpeed {

    private static final int MIN_RUNS = 5;

    /** The weight of the newest run once there are many. */
    private static final double MIN_LEARNING_RATE = 0.1;

    /** A worker that takes this many times as long as the median of its pool is slow. */
    private static final double CLEARLY_SLOWER = 1.5;

    private double logFactor;
    private int runs;

    /** Records a run that ended as done; both times are in milliseconds. */
    public void recordRun(double measuredMillis, double expectedMillis) {
        if (measuredMillis <= 0 || expectedMillis <= 0) {
            return;
        }
        runs = Math.min(runs + 1, Integer.MAX_VALUE - 1);
        double rate = Math.max(MIN_LEARNING_RATE, 1.0 / runs);
        logFactor += rate * (Math.log(measuredMillis / expectedMillis) - logFactor);
    }

    /** Returns whether enough runs have ended to know the factor. */
    public boolean isKnown() {
        return runs >= MIN_RUNS;
    }

    /** Returns how many times as long as expected runs take; 1 while that is not known. */
    public double factor() {
        return isKnown() ? Math.exp(logFactor) : 1;
    }

    /** Returns the median of some factors; 1 if there are none. */
    public static double median(double[] factors) {
        if (factors.length == 0) {
            return 1;
        }
        double[] sorted = factors.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1
                ? sorted[middle]
                : Math.sqrt(sorted[middle - 1] * sorted[middle]);
    }

    /** Returns the factor relative to the median of the pool, or 1 unless it is clearly slower. */
    public double slowness(double medianOfPool) {
        double relative = factor() / medianOfPool;
        return isKnown() && relative >= CLEARLY_SLOWER ? relative : 1;
    }
}
