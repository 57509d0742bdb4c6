package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.admission.WaitingWork;

/**
 * Tells how much work waits for room, and how much has been finished.
 *
 * <p>Of the waiting work, counts only what is sure to go before that of less urgent queues: tasks
 * that may start at once, of jobs that can still meet their latency objective. Tasks that may wait
 * for something else than room on any worker are left out.
 */
public final class Backlog {

    private static final long ON_TIME_STEP_MILLIS = 250;

    private final Collection<JobEntry> liveJobs;
    private final Supplier<Manifest> manifest;
    private final RunRegistry runs;
    private final JobRanking ranking;
    private final RunTimeEstimator runTimes;
    private final FinishedWork finishedWork = new FinishedWork();

    private record Source(String queue, String customer, long onTimeMillis) {}

    Backlog(
            Collection<JobEntry> liveJobs,
            Supplier<Manifest> manifest,
            RunRegistry runs,
            JobRanking ranking,
            RunTimeEstimator runTimes) {
        this.liveJobs = liveJobs;
        this.manifest = manifest;
        this.runs = runs;
        this.ranking = ranking;
        this.runTimes = runTimes;
    }

    /** Returns the number of jobs by queue of which no worker has reported a run. */
    Map<String, Integer> pendingByQueue() {
        Map<String, Integer> pending = new HashMap<>();
        liveJobs.stream()
                .filter(j -> !j.hasRun())
                .forEach(j -> pending.merge(j.policy().queue(), 1, Integer::sum));
        return pending;
    }

    /** Records a task that is done. */
    void recordDone(TaskEntry task, String pool, long now) {
        StepSpec spec = task.step().spec();
        String queue = task.step().job().policy().queue();
        long millis = runTimes.estimateMillis(queue, spec.estimatedMillis());
        finishedWork.recordDone(pool, (double) spec.footprint().milliCores() * millis, now);
    }

    /** Returns the rate at which each pool has finished work lately, in thousandths of a core. */
    public Map<String, Long> finishedMilliCores(long now) {
        return finishedWork.milliCoresByPool(now);
    }

    /** Returns the work that waits for room, by queue, customer and time. */
    public List<WaitingWork> waitingWork(long now) {
        Map<Source, WaitingWork> bySource = new HashMap<>();
        for (JobEntry job : liveJobs) {
            WaitingWork work = workOf(job, now);
            if (work.work() > 0) {
                Source source = new Source(work.queue(), work.customer(), work.onTimeMillis());
                bySource.merge(source, work, WaitingWork::plus);
            }
        }
        return List.copyOf(bySource.values());
    }

    private WaitingWork workOf(JobEntry job, long now) {
        double expected = 0;
        double estimated = 0;
        long startBy = Long.MAX_VALUE;
        Resources largest = Resources.NONE;
        String queue = job.policy().queue();
        for (StepEntry step : job.steps().filter(this::waitsForRoom).toList()) {
            long stepStartBy = ranking.latestStart(step);
            if (stepStartBy < now) {
                continue;
            }
            startBy = Math.min(startBy, stepStartBy);
            StepSpec spec = step.spec();
            double cores =
                    (double) spec.footprint().milliCores()
                            * Math.min(step.tasks().waitingCount(), JobSizeLimits.MAX_BEGUN_TASKS);
            expected += cores * runTimes.estimateMillis(step);
            estimated += cores * spec.estimatedMillis();
            largest = largest.max(spec.footprint());
        }
        return new WaitingWork(
                queue,
                job.policy().pool(),
                job.policy().priority(),
                job.job().customer(),
                milliCoresFor(job),
                roundedDown(startBy - now),
                largest,
                expected,
                estimated);
    }

    /** Rounds a time, so that the work of many jobs is one entry. */
    private static long roundedDown(long millis) {
        return millis / ON_TIME_STEP_MILLIS * ON_TIME_STEP_MILLIS;
    }

    private boolean waitsForRoom(StepEntry step) {
        StepSpec spec = step.spec();
        return !step.isDone()
                && step.isReady()
                && !spec.longRunning()
                && spec.maxPerWorker() == 0
                && !step.job().policy().advised()
                && !spec.gang()
                && !spec.tightlyCoupled()
                && spec.requiredLabel().isEmpty()
                && spec.dataRack().isEmpty()
                && spec.request().fitsInLimit(limitOf(step.job()));
    }

    /**
     * Returns what may start for the customer of a job; nothing is sure if memory or accelerators
     * are limited, since these may keep its tasks waiting.
     */
    private long milliCoresFor(JobEntry job) {
        Resources limit = limitOf(job);
        if (limit.equals(Resources.NONE)) {
            return Long.MAX_VALUE;
        }
        boolean onlyCores = limit.memoryMb() == 0 && limit.gpus() == 0;
        return onlyCores ? limit.minus(runs.usageOf(job.job().customer())).milliCores() : 0;
    }

    private Resources limitOf(JobEntry job) {
        Customer customer = manifest.get().customers().get(job.job().customer());
        return customer == null ? Resources.NONE : customer.limit();
    }
}
