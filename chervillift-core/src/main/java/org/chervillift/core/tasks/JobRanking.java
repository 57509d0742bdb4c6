package org.chervillift.core.tasks;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.chervillift.api.tasks.StepSpec;

/**
 * Decides which step goes first when not all find room.
 *
 * <p>Answers a surge that asks for more than the pool holds: jobs that can still be in time go
 * before jobs that cannot, and among these the ones that are worth most for the work that is left,
 * so that a job that has begun is finished before another begins.
 */
final class JobRanking {

    /** What a job is worth beside its size, as a part of the mean job's worth. */
    private static final double FIXED_VALUE_SHARE = 0.3;

    private static final double SMOOTHING_FACTOR = 0.02;

    private final RunTimeEstimator runTimes;
    private final Map<String, Double> meanWorkByQueue = new HashMap<>();

    JobRanking(RunTimeEstimator times) {
        this.runTimes = times;
    }

    /**
     * The place of a step in the line.
     *
     * @param lasts whether it runs until it is cancelled
     * @param priority the rank of its queue, where 0 goes first
     * @param late whether its job cannot be in time any more
     * @param worthPerWork what its job is worth for the work that is left
     */
    record Rank(boolean longRunning, int priority, boolean late, double valuePerWork)
            implements Comparable<Rank> {

        private static final Comparator<Rank> ORDER =
                Comparator.comparing((Rank r) -> !r.longRunning)
                        .thenComparing(Rank::late)
                        .thenComparing(Rank::priority)
                        .thenComparing(r -> -r.valuePerWork);

        @Override
        public int compareTo(Rank other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Learns how much work the jobs of a queue are.
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
        List<StepEntry> steps = job.occurrence(step.occurrence());
        long left = longestChainMillis(steps, s -> s.isDone() ? 0 : expectedMillis(s));
        long whole = longestChainMillis(steps, this::expectedMillis);
        double objective =
                job.policy().targetLatencyMillis() + job.policy().stretchFactor() * whole;
        long startBy = job.waitingSince(step.occurrence()) + Math.round(objective) - left;
        return new Rank(
                step.spec().longRunning(),
                job.policy().priority(),
                now > startBy,
                valuePerWork(job, steps));
    }

    private double valuePerWork(JobEntry job, List<StepEntry> steps) {
        double whole = 0;
        double left = 0;
        for (StepEntry step : steps) {
            double each = workOf(job, step.spec());
            whole += each * step.tasks().size();
            left += each * step.tasks().stream().filter(TaskEntry::isWaiting).count();
        }
        double mean = meanWorkByQueue.getOrDefault(job.policy().queue(), whole);
        double worth = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * whole / Math.max(1, mean);
        return worth / Math.max(1, left);
    }

    /** Returns the work of a task, in thousandths of a core times milliseconds. */
    private double workOf(JobEntry job, StepSpec spec) {
        return (double) spec.request().milliCores()
                * runTimes.estimateMillis(job.policy().queue(), spec.estimatedMillis());
    }

    private long expectedMillis(StepEntry step) {
        StepSpec spec = step.spec();
        return spec.longRunning()
                ? 0
                : runTimes.estimateMillis(step.job().policy().queue(), spec.estimatedMillis());
    }

    /** Returns the longest chain of steps that follow each other, in milliseconds. */
    private static long longestChainMillis(
            List<StepEntry> steps, ToLongFunction<StepEntry> duration) {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int before : steps.get(i).spec().after()) {
                start = Math.max(start, ends[before]);
            }
            ends[i] = start + duration.applyAsLong(steps.get(i));
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }
}
