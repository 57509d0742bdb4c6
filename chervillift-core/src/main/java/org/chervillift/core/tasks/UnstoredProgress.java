package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A snapshot of the job progress that is not stored yet, and of the applied ends of runs that may
 * be acknowledged to workers once it is stored.
 */
public final class UnstoredProgress {

    private final Map<JobEntry, JobProgress> progressByJob;
    private final Map<String, LastAppliedEnd> endsByWorker;

    /** The last applied end of a run that a worker reported in a lifetime. */
    private record LastAppliedEnd(long bornAtMillis, long number) {}

    private UnstoredProgress(
            Map<JobEntry, JobProgress> progressByJob, Map<String, LastAppliedEnd> endsByWorker) {
        this.progressByJob = progressByJob;
        this.endsByWorker = endsByWorker;
    }

    static UnstoredProgress snapshot(
            Collection<JobEntry> changed, Collection<WorkerRecord> workers, long term) {
        Map<JobEntry, JobProgress> progressByJob = new LinkedHashMap<>();
        changed.forEach(j -> progressByJob.put(j, ProgressSnapshot.of(j, term)));
        Map<String, LastAppliedEnd> endsByWorker = new HashMap<>();
        workers.stream()
                .filter(w -> w.lastAppliedEnd() > w.acknowledgedEnd())
                .forEach(
                        w ->
                                endsByWorker.put(
                                        w.id(),
                                        new LastAppliedEnd(w.bornAtMillis(), w.lastAppliedEnd())));
        return new UnstoredProgress(progressByJob, endsByWorker);
    }

    /** Returns the progress to store, by job identifier. */
    public Map<String, JobProgress> progress() {
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        progressByJob.forEach((job, p) -> progress.put(job.id(), p));
        return progress;
    }

    /** Returns the identifiers of the jobs whose final state this snapshot stores. */
    public List<String> endedJobs() {
        return progressByJob.entrySet().stream()
                .filter(e -> e.getValue().state().isFinal())
                .map(e -> e.getKey().id())
                .toList();
    }

    /** Returns whether there is nothing to store or to acknowledge. */
    public boolean isEmpty() {
        return progressByJob.isEmpty() && endsByWorker.isEmpty();
    }

    /** Returns the jobs whose progress has not changed since this snapshot. */
    List<JobEntry> unchangedJobs(long term) {
        List<JobEntry> unchanged = new ArrayList<>();
        progressByJob.forEach(
                (job, stored) -> {
                    if (stored.equals(ProgressSnapshot.of(job, term))) {
                        unchanged.add(job);
                    }
                });
        return unchanged;
    }

    /**
     * Marks where the steps of this snapshot are stored as begun, and the crashes of their tasks.
     */
    void markStepsStored() {
        progressByJob.forEach(
                (job, stored) ->
                        stored.steps()
                                .forEach(s -> markStored(job.step(s.occurrence(), s.step()), s)));
    }

    private static void markStored(StepEntry step, JobProgress.StepProgress stored) {
        step.begunPools().markStored(stored.pools());
        for (JobProgress.TaskFailures failures : stored.failures()) {
            step.tasks().get(failures.task()).crashes().markStored(failures.crashes());
        }
    }

    /** Acknowledges the ends of this snapshot, so that workers need not report them again. */
    void acknowledgeEnds(Map<String, WorkerRecord> workers) {
        endsByWorker.forEach(
                (id, lastApplied) -> {
                    WorkerRecord worker = workers.get(id);
                    if (worker != null && worker.bornAtMillis() == lastApplied.bornAtMillis()) {
                        worker.acknowledge(lastApplied.number());
                    }
                });
    }
}
