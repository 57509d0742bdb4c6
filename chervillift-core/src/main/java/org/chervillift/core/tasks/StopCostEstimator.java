package org.chervillift.core.tasks;

import org.chervillift.api.tasks.StepSpec;

/**
 * Estimates how long runs go on by their progress, and how much work is lost if they are stopped.
 */
final class StopCostEstimator {

    private static final int FULL_PERCENT = 100;

    /** The remaining time of a run that does not end by itself; far beyond every objective. */
    private static final long UNBOUNDED_MILLIS = Long.MAX_VALUE / 4;

    private final RunEndEstimator runEnds;

    StopCostEstimator(RunEndEstimator runEnds) {
        this.runEnds = runEnds;
    }

    /** Returns the expected run time of a task of a step that begins anew, in milliseconds. */
    long expectedMillis(StepEntry step) {
        return runEnds.taskMillis(step);
    }

    /**
     * Returns how long a run is expected to go on, in milliseconds: the part of its time that its
     * progress leaves. A run that takes longer than expected takes its present time in all.
     */
    long remainingMillis(Run run, long now) {
        if (run.task().step().spec().longRunning()) {
            return UNBOUNDED_MILLIS;
        }
        long total = Math.max(runEnds.runMillis(run), elapsedMillis(run, now));
        return total * (FULL_PERCENT - percentOf(run)) / FULL_PERCENT;
    }

    /** Returns for how long a run has been going on, in milliseconds. */
    private long elapsedMillis(Run run, long now) {
        if (run.startedAt() > 0) {
            return now - run.startSentAt();
        }
        long byProgress = runEnds.runMillis(run) * percentOf(run) / FULL_PERCENT;
        return Math.max(now - run.openedAt(), byProgress);
    }

    /** Returns how much time of a run is to be repeated if it is stopped, in milliseconds. */
    long lostMillis(Run run, long now) {
        StepSpec spec = run.task().step().spec();
        long elapsed = elapsedMillis(run, now);
        return spec.checkpointing() && run.savedAt().isPresent()
                ? Math.min(elapsed, now - run.savedAt().getAsLong())
                : elapsed;
    }

    /** Returns how much time of a run is kept if it is stopped, in milliseconds. */
    long keptMillis(Run run, long now) {
        return elapsedMillis(run, now) - lostMillis(run, now);
    }

    /** Returns the work that is lost if a run is stopped, in thousandths of a core times ms. */
    double lostWork(Run run, long now) {
        return (double) run.task().step().spec().request().milliCores() * lostMillis(run, now);
    }

    private static int percentOf(Run run) {
        return Math.clamp(run.progressPercent(), 0, FULL_PERCENT);
    }
}
