package org.chervillift.core.tasks;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.api.tasks.StepSpec;

/**
 * Ranks steps by which goes first when the pool lacks capacity for all.
 *
 * <p>Used when a surge exceeds the capacity of a pool: jobs of the most urgent priority go first,
 * also when they are late; then jobs that can still meet their latency objective before jobs that
 * cannot; and among these the jobs with the highest value per remaining work, so that a job that
 * has begun is finished before another begins. Among jobs that are as urgent, {@link StartOrder}
 * takes customers within their share first.
 */
final class JobRanking {

    /** The share of a job's value that does not depend on its size; a job of mean size has 1. */
    private static final double FIXED_VALUE_SHARE = 0.3;

    private static final double SMOOTHING_FACTOR = 0.02;

    private final RunTimeEstimator runTimes;
    private final Map<String, Double> meanWorkByQueue = new HashMap<>();

    JobRanking(RunTimeEstimator runTimes) {
        this.runTimes = runTimes;
    }

    /**
     * The sort key of a step; the lowest goes first.
     *
     * @param longRunning whether its tasks run until the job is cancelled
     * @param priority the priority of its queue, where 0 goes first
     * @param late whether its job can no longer meet its latency objective
     * @param valuePerWork the value of its job per remaining work
     */
    record Rank(boolean longRunning, int priority, boolean late, double valuePerWork)
            implements Comparable<Rank> {

        private static final Comparator<Rank> BY_URGENCY =
                Comparator.comparing((Rank r) -> !r.longRunning)
                        .thenComparing(Rank::priority)
                        .thenComparing(Rank::late);

        private static final Comparator<Rank> ORDER =
                BY_URGENCY.thenComparing(r -> -r.valuePerWork);

        /** Returns whether only shares of customers and the value decide which goes first. */
        boolean isAsUrgentAs(Rank other) {
            return BY_URGENCY.compare(this, other) == 0;
        }

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Updates the mean work of the queue's jobs with a new job.
     *
     * @return the work of this job, in thousandths of a core times milliseconds
     */
    double recordArrival(JobEntry job) {
        double work =
                job.job().spec().steps().stream()
                        .mapToDouble(s -> s.count() * workOf(job, s))
                        .sum();
        meanWorkByQueue.merge(
                job.policy().queue(), work, (mean, w) -> mean + SMOOTHING_FACTOR * (w - mean));
        return work;
    }

    Rank rankOf(StepEntry step, long now) {
        JobEntry job = step.job();
        return new Rank(
                step.spec().longRunning(),
                job.policy().priority(),
                now > latestStart(step),
                valuePerWork(job, job.occurrence(step.occurrence())));
    }

    /**
     * Returns until when the waiting tasks of a step's job must start for the job to meet its
     * latency objective, in milliseconds.
     */
    long latestStart(StepEntry step) {
        JobEntry job = step.job();
        List<StepEntry> steps = job.occurrence(step.occurrence());
        long remainingMillis =
                StepChains.longestMillis(
                        steps, StepEntry::spec, s -> s.isDone() ? 0 : runTimes.estimateMillis(s));
        long totalMillis =
                StepChains.longestMillis(steps, StepEntry::spec, runTimes::estimateMillis);
        double objectiveMillis =
                job.policy().targetLatencyMillis() + job.policy().stretchFactor() * totalMillis;
        return job.waitingSince(step.occurrence()) + Math.round(objectiveMillis) - remainingMillis;
    }

    private double valuePerWork(JobEntry job, List<StepEntry> steps) {
        double totalWork = 0;
        double remainingWork = 0;
        for (StepEntry step : steps) {
            double taskWork = workOf(job, step.spec());
            totalWork += taskWork * step.tasks().count();
            remainingWork += taskWork * step.tasks().waitingCount();
        }
        double meanWork = meanWorkByQueue.getOrDefault(job.policy().queue(), totalWork);
        double value =
                FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * totalWork / Math.max(1, meanWork);
        return value / Math.max(1, remainingWork);
    }

    /** Returns the work of a task, in thousandths of a core times milliseconds. */
    private double workOf(JobEntry job, StepSpec spec) {
        return (double) spec.request().milliCores()
                * runTimes.estimateMillis(job.policy().queue(), spec.estimatedMillis());
    }
}
