package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.tasks.StepSpec;

/**
 * Estimates the run times of a queue's tasks from the runs that have ended.
 *
 * <p>The estimates of callers may be far off: a caller's estimate, corrected by its mean error, and
 * the queue's mean run time are combined, each weighted by how well it predicted past runs. All
 * calculations use logarithms of times, since a wrong estimate is wrong by a factor.
 */
final class RunTimeEstimator {

    private static final double MIN_LEARNING_RATE = 0.02;
    private static final double INITIAL_VARIANCE = 0.4;
    private static final double MIN_VARIANCE = 0.01;

    private final Map<String, QueueEstimator> estimatorsByQueue = new HashMap<>();

    /** The means and variances of one queue; times are natural logarithms of milliseconds. */
    private static final class QueueEstimator {
        private double logMean;
        private double meanVariance = INITIAL_VARIANCE;
        private double estimateBias;
        private double estimateVariance = INITIAL_VARIANCE;
        private int count;

        private double learningRate() {
            return Math.max(MIN_LEARNING_RATE, 1.0 / count);
        }

        private void update(double logActual, double logEstimate) {
            count++;
            double fromMean = logActual - logMean;
            logMean += learningRate() * fromMean;
            double fromEstimate = logActual - logEstimate;
            double error = fromEstimate - estimateBias;
            estimateBias += learningRate() * error;
            if (count > 1) {
                meanVariance += learningRate() * (fromMean * fromMean - meanVariance);
                estimateVariance += learningRate() * (error * error - estimateVariance);
            }
        }

        /** Returns the variance of what predicts run times best. */
        private double variance() {
            return Math.max(MIN_VARIANCE, Math.min(meanVariance, estimateVariance));
        }

        private double estimate(double logEstimate) {
            double varianceOfMean = Math.max(MIN_VARIANCE, meanVariance);
            double varianceOfEstimate = Math.max(MIN_VARIANCE, estimateVariance);
            return ((logEstimate + estimateBias) * varianceOfMean + logMean * varianceOfEstimate)
                    / (varianceOfMean + varianceOfEstimate);
        }
    }

    /**
     * Returns by how much tasks take longer than expected, as one deviation, in milliseconds.
     *
     * @param expectedMillis the expected run time
     */
    long deviationMillis(String queue, long expectedMillis) {
        QueueEstimator estimator = estimatorsByQueue.get(queue);
        double variance = estimator == null ? INITIAL_VARIANCE : estimator.variance();
        return Math.round(expectedMillis * Math.expm1(Math.sqrt(variance)));
    }

    /** Records the run time of a task that is done. */
    void recordRunTime(String queue, long estimatedMillis, long actualMillis) {
        if (estimatedMillis > 0 && actualMillis > 0) {
            estimatorsByQueue
                    .computeIfAbsent(queue, q -> new QueueEstimator())
                    .update(Math.log(actualMillis), Math.log(estimatedMillis));
        }
    }

    /**
     * Returns the expected run time of a task of a step near its data on a usual worker, in
     * milliseconds; 0 if it runs until its job is cancelled.
     */
    long estimateMillis(StepEntry step) {
        StepSpec spec = step.spec();
        return spec.longRunning()
                ? 0
                : estimateMillis(step.job().policy().queue(), spec.estimatedMillis());
    }

    /** Returns the expected run time of a task, in milliseconds. */
    long estimateMillis(String queue, long estimatedMillis) {
        QueueEstimator estimator = estimatorsByQueue.get(queue);
        if (estimator == null || estimatedMillis <= 0) {
            return estimatedMillis;
        }
        return Math.round(Math.exp(estimator.estimate(Math.log(estimatedMillis))));
    }
}
