package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Progress of jobs that is not stored yet, and the ends of runs that caused it. */
public final class UnstoredProgress {

    private final Map<JobEntry, JobProgress> progressByJob;
    private final Map<String, LastAppliedEnd> endsByWorker;

    /** The ends that a worker has told in a lifetime. */
    private record LastAppliedEnd(long bornAtMillis, long number) {}

    private UnstoredProgress(Map<JobEntry, JobProgress> jobs, Map<String, LastAppliedEnd> ends) {
        this.progressByJob = jobs;
        this.endsByWorker = ends;
    }

    static UnstoredProgress snapshot(
            Collection<JobEntry> changed, Collection<WorkerRecord> workers, long term) {
        Map<JobEntry, JobProgress> jobs = new LinkedHashMap<>();
        changed.forEach(j -> jobs.put(j, ProgressSnapshot.of(j, term)));
        Map<String, LastAppliedEnd> ends = new HashMap<>();
        workers.stream()
                .filter(w -> w.lastAppliedEnd() > w.acknowledgedEnd())
                .forEach(
                        w ->
                                ends.put(
                                        w.id(),
                                        new LastAppliedEnd(w.bornAtMillis(), w.lastAppliedEnd())));
        return new UnstoredProgress(jobs, ends);
    }

    /** Returns the progress to store, by job. */
    public Map<String, JobProgress> progress() {
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        progressByJob.forEach((job, p) -> progress.put(job.id(), p));
        return progress;
    }

    /** Returns whether there is nothing to store or to acknowledge. */
    public boolean isEmpty() {
        return progressByJob.isEmpty() && endsByWorker.isEmpty();
    }

    /** Returns the jobs whose progress is still the one that was stored. */
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

    /** Notes on the steps that it is stored that they have begun. */
    void markBegunStepsStored() {
        progressByJob.forEach(
                (job, stored) ->
                        stored.steps()
                                .forEach(
                                        s -> job.step(s.occurrence(), s.step()).markBegunStored()));
    }

    /** Notes which ends need not be told again. */
    void acknowledgeEnds(Map<String, WorkerRecord> workers) {
        endsByWorker.forEach(
                (id, seen) -> {
                    WorkerRecord worker = workers.get(id);
                    if (worker != null && worker.bornAtMillis() == seen.bornAtMillis()) {
                        worker.acknowledge(seen.number());
                    }
                });
    }
}
