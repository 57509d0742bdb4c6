package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Progress of jobs that is not stored yet, and the ends of runs that caused it. */
public final class Unstored {

    private final Map<JobEntry, JobProgress> jobs;
    private final Map<String, SeenEnds> ends;

    /** The ends that a worker has told in a lifetime. */
    private record SeenEnds(long bornAtMillis, long number) {}

    private Unstored(Map<JobEntry, JobProgress> jobs, Map<String, SeenEnds> ends) {
        this.jobs = jobs;
        this.ends = ends;
    }

    static Unstored of(Collection<JobEntry> changed, Collection<WorkerRecord> workers, long term) {
        Map<JobEntry, JobProgress> jobs = new LinkedHashMap<>();
        changed.forEach(j -> jobs.put(j, ProgressSnapshot.of(j, term)));
        Map<String, SeenEnds> ends = new HashMap<>();
        workers.stream()
                .filter(w -> w.seenEnd() > w.acknowledged())
                .forEach(w -> ends.put(w.id(), new SeenEnds(w.bornAtMillis(), w.seenEnd())));
        return new Unstored(jobs, ends);
    }

    /** Returns the progress to store, by job. */
    public Map<String, JobProgress> progress() {
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        jobs.forEach((job, p) -> progress.put(job.id(), p));
        return progress;
    }

    /** Returns whether there is nothing to store or to acknowledge. */
    public boolean isEmpty() {
        return jobs.isEmpty() && ends.isEmpty();
    }

    /** Returns the jobs whose progress is still the one that was stored. */
    List<JobEntry> unchanged(long term) {
        List<JobEntry> unchanged = new ArrayList<>();
        jobs.forEach(
                (job, stored) -> {
                    if (stored.equals(ProgressSnapshot.of(job, term))) {
                        unchanged.add(job);
                    }
                });
        return unchanged;
    }

    /** Notes on the steps that it is stored that they have begun. */
    void markBegunSteps() {
        jobs.forEach(
                (job, stored) ->
                        stored.steps()
                                .forEach(s -> job.step(s.occurrence(), s.step()).begunStored()));
    }

    /** Notes which ends need not be told again. */
    void acknowledgeOn(Map<String, WorkerRecord> workers) {
        ends.forEach(
                (id, seen) -> {
                    WorkerRecord worker = workers.get(id);
                    if (worker != null && worker.bornAtMillis() == seen.bornAtMillis()) {
                        worker.acknowledge(seen.number());
                    }
                });
    }
}
