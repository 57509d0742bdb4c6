package org.chervillift.core.tasks;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;

/**
 * How much of one job the holder keeps in memory and stores.
 *
 * <p>A caller may choose any number of tasks and of occurrences. The holder starts as many as fit
 * in these limits, and more once those have ended.
 */
public final class JobSizeLimits {

    /** Tasks of a job that end by themselves, have begun and are not done. */
    static final int MAX_BEGUN_TASKS = 1_000;

    /** Occurrences of a job that are due and of which nothing has begun. */
    static final int MAX_WAITING_OCCURRENCES = 32;

    /**
     * Done occurrences of a job that are kept one by one. More are kept as ranges, which earlier
     * releases cannot read.
     */
    static final int MAX_LISTED_OCCURRENCES = 32;

    /** Steps of the open occurrences of a job, each of which takes some 1 KB of memory. */
    private static final int MAX_OPEN_STEPS = 10_000;

    /**
     * Open occurrences of a job, between which those that are done form ranges that fit in a row.
     */
    private static final int MAX_OPEN_OCCURRENCES = 500;

    private JobSizeLimits() {}

    /**
     * Returns how many occurrences of a job may be open at once. Those of a job with a long-running
     * step are never done, so the others would never begin.
     */
    static int maxOpenOccurrences(JobSpec job) {
        if (job.steps().stream().anyMatch(StepSpec::longRunning)) {
            return Integer.MAX_VALUE;
        }
        int ofSteps = MAX_OPEN_STEPS / Math.max(1, job.steps().size());
        return Math.clamp(ofSteps, 2 * MAX_WAITING_OCCURRENCES, MAX_OPEN_OCCURRENCES);
    }

    /**
     * Returns how many tasks of a step may have begun at once. Long-running tasks are not limited:
     * none of them ends, so the others would never begin.
     */
    static int maxBegunTasks(StepEntry step) {
        return step.spec().longRunning() ? Integer.MAX_VALUE : MAX_BEGUN_TASKS;
    }

    /** Returns how many tasks of a step may begin now. */
    static int tasksThatMayBegin(StepEntry step) {
        return step.spec().longRunning()
                ? Integer.MAX_VALUE
                : MAX_BEGUN_TASKS - step.job().begunTaskCount();
    }

    /** Returns why a job can never be completed, if a step of it is too large to be started. */
    public static Optional<JobFailure> failureOf(JobSpec job) {
        List<StepSpec> steps = job.steps();
        for (int i = 0; i < steps.size(); i++) {
            if (steps.get(i).gang() && steps.get(i).count() > MAX_BEGUN_TASKS) {
                String task = new TaskId(job.id(), 0, i, 0).toString();
                return Optional.of(
                        new JobFailure(JobFailure.Cause.GANG_TOO_LARGE, task, MAX_BEGUN_TASKS));
            }
        }
        return Optional.empty();
    }
}
