package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the tasks of a queue run.
 *
 * <p>Answers estimates that are far from the truth: a caller's estimate and the queue's own mean
 * are weighed by how well each foretold the runs that have ended. Times are logarithmic, since a
 * wrong estimate is wrong by a factor.
 */
final class RunTimeEstimator {

    private static final double MIN_LEARNING_RATE = 0.02;
    private static final double INITIAL_VARIANCE = 0.4;
    private static final double MIN_VARIANCE = 0.01;

    private final Map<String, QueueEstimator> estimatorsByQueue = new HashMap<>();

    private static final class QueueEstimator {
        private double logMean;
        private double meanVariance = INITIAL_VARIANCE;
        private double estimateBias;
        private double estimateVariance = INITIAL_VARIANCE;
        private int count;

        private double learningRate() {
            return Math.max(MIN_LEARNING_RATE, 1.0 / count);
        }

        private void record(double actual, double estimate) {
            count++;
            double fromMean = actual - logMean;
            logMean += learningRate() * fromMean;
            double fromEstimate = actual - estimate;
            double error = fromEstimate - estimateBias;
            estimateBias += learningRate() * error;
            if (count > 1) {
                meanVariance += learningRate() * (fromMean * fromMean - meanVariance);
                estimateVariance += learningRate() * (error * error - estimateVariance);
            }
        }

        private double estimate(double estimate) {
            double m = Math.max(MIN_VARIANCE, meanVariance);
            double e = Math.max(MIN_VARIANCE, estimateVariance);
            return ((estimate + estimateBias) * m + logMean * e) / (m + e);
        }
    }

    /** Notes how long a task ran that was done. */
    void record(String queue, long estimatedMillis, long actualMillis) {
        if (estimatedMillis > 0 && actualMillis > 0) {
            estimatorsByQueue
                    .computeIfAbsent(queue, q -> new QueueEstimator())
                    .record(Math.log(actualMillis), Math.log(estimatedMillis));
        }
    }

    /** Returns how long a task will run, in milliseconds. */
    long estimateMillis(String queue, long estimatedMillis) {
        QueueEstimator learnt = estimatorsByQueue.get(queue);
        if (learnt == null || estimatedMillis <= 0) {
            return estimatedMillis;
        }
        return Math.round(Math.exp(learnt.estimate(Math.log(estimatedMillis))));
    }
}
