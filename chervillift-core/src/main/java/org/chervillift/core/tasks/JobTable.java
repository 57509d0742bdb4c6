package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobStatus;

/**
 * All jobs by identifier.
 *
 * <p>When the holder changes late in a day, nearly all jobs have ended, and reading them would be
 * most of the new holder's work. A job that an earlier holder ended is therefore read only when it
 * is needed.
 */
final class JobTable {

    private final Map<String, JobEntry> entries = new LinkedHashMap<>();
    private final Map<String, EndedJob> endedJobs = new HashMap<>();

    /** A job that an earlier holder ended. */
    private record EndedJob(JobStatus status, Supplier<Optional<AcceptedJob>> jobReader) {}

    void put(JobEntry job) {
        entries.put(job.id(), job);
    }

    /**
     * Adds a job that an earlier holder ended.
     *
     * @param jobReader reads the job; returns empty if it cannot be read
     */
    void putEnded(String id, JobStatus status, Supplier<Optional<AcceptedJob>> jobReader) {
        endedJobs.put(id, new EndedJob(status, jobReader));
    }

    boolean contains(String id) {
        return entries.containsKey(id) || endedJobs.containsKey(id);
    }

    /** Returns a job; reads it first if an earlier holder ended it. */
    Optional<JobEntry> find(String id) {
        EndedJob ended = endedJobs.remove(id);
        if (ended != null) {
            ended.jobReader().get().ifPresent(job -> entries.put(id, toEntry(job, ended.status())));
        }
        return Optional.ofNullable(entries.get(id));
    }

    private static JobEntry toEntry(AcceptedJob job, JobStatus status) {
        JobEntry entry = new JobEntry(job.withoutPayload(), job.policy(), 0);
        entry.state(status.state());
        entry.failure(status.failure());
        return entry;
    }

    /** Returns a job, unless an earlier holder ended it and it has not been read yet. */
    Optional<JobEntry> findLoaded(String id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns the status of a job that an earlier holder ended, while it has not been read. */
    Optional<JobStatus> endedStatusOf(String id) {
        return Optional.ofNullable(endedJobs.get(id)).map(EndedJob::status);
    }

    void remove(String id) {
        entries.remove(id);
        endedJobs.remove(id);
    }
}
