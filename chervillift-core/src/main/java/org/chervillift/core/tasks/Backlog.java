package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.admission.WaitingWork;

/**
 * Tells how much work goes before a job that is handed in now, and how much has been finished.
 *
 * <p>Of the waiting work, counts only work that is sure to go first: tasks that may start at once,
 * of jobs that can still meet their latency objective. Tasks that wait for something else than room
 * are left out.
 */
public final class Backlog {

    private final Collection<JobEntry> liveJobs;
    private final Collection<WorkerRecord> workers;
    private final Supplier<Manifest> manifest;
    private final JobRanking ranking;
    private final RunTimeEstimator runTimes;
    private final FinishedWork finishedWork = new FinishedWork();

    private record Source(String queue, String customer) {}

    Backlog(
            Collection<JobEntry> liveJobs,
            Collection<WorkerRecord> workers,
            Supplier<Manifest> manifest,
            JobRanking ranking,
            RunTimeEstimator runTimes) {
        this.liveJobs = liveJobs;
        this.workers = workers;
        this.manifest = manifest;
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

    /** Records the run time of a task that is done. */
    void recordRunTime(TaskEntry task, long millis) {
        String queue = task.step().job().policy().queue();
        runTimes.recordRunTime(queue, task.step().spec().estimatedMillis(), millis);
    }

    /** Returns the rate at which each pool has finished work lately, in thousandths of a core. */
    public Map<String, Long> finishedMilliCores(long now) {
        return finishedWork.milliCoresByPool(now);
    }

    /** Returns the work that goes before a job that is handed in now, by queue and customer. */
    public List<WaitingWork> waitingWork(long now) {
        Map<String, Set<String>> labels = labelsByPool();
        Map<Source, WaitingWork> bySource = new HashMap<>();
        for (JobEntry job : liveJobs) {
            WaitingWork work = workOf(job, labels, now);
            if (work.work() > 0) {
                Source source = new Source(work.queue(), work.customer());
                bySource.merge(source, work, WaitingWork::plus);
            }
        }
        return List.copyOf(bySource.values());
    }

    private Map<String, Set<String>> labelsByPool() {
        Map<String, Set<String>> labels = new HashMap<>();
        for (WorkerRecord worker : workers) {
            labels.computeIfAbsent(worker.pool(), p -> new HashSet<>())
                    .addAll(worker.entry().labels());
        }
        return labels;
    }

    private WaitingWork workOf(JobEntry job, Map<String, Set<String>> labels, long now) {
        double expected = 0;
        double estimated = 0;
        String queue = job.policy().queue();
        for (StepEntry step : job.steps().filter(s -> goesFirst(s, labels, now)).toList()) {
            StepSpec spec = step.spec();
            double cores =
                    (double) spec.footprint().milliCores()
                            * Math.min(step.tasks().waitingCount(), JobSizeLimits.MAX_BEGUN_TASKS);
            expected += cores * runTimes.estimateMillis(queue, spec.estimatedMillis());
            estimated += cores * spec.estimatedMillis();
        }
        return new WaitingWork(
                queue,
                job.policy().pool(),
                job.policy().priority(),
                job.job().customer(),
                expected,
                estimated,
                1);
    }

    private boolean goesFirst(StepEntry step, Map<String, Set<String>> labels, long now) {
        StepSpec spec = step.spec();
        boolean waitsForRoom =
                !step.isDone()
                        && step.isReady()
                        && !spec.longRunning()
                        && spec.maxPerWorker() == 0
                        && !step.job().policy().advised()
                        && hasLabel(step, labels)
                        && LoadCalculator.canEverStart(step, limitOf(step.job()));
        return waitsForRoom && !ranking.rankOf(step, now).late();
    }

    private static boolean hasLabel(StepEntry step, Map<String, Set<String>> labels) {
        String label = step.spec().requiredLabel();
        return label.isEmpty()
                || labels.getOrDefault(step.job().policy().pool(), Set.of()).contains(label);
    }

    private Resources limitOf(JobEntry job) {
        Customer customer = manifest.get().customers().get(job.job().customer());
        return customer == null ? Resources.NONE : customer.limit();
    }
}
