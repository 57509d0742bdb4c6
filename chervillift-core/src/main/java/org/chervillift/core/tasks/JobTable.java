package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobState;

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
    private record EndedJob(JobState state, Supplier<Optional<AcceptedJob>> jobReader) {}

    void put(JobEntry job) {
        entries.put(job.id(), job);
    }

    /**
     * Adds a job that an earlier holder ended.
     *
     * @param jobReader reads the job; returns empty if it cannot be read
     */
    void putEnded(String id, JobState state, Supplier<Optional<AcceptedJob>> jobReader) {
        endedJobs.put(id, new EndedJob(state, jobReader));
    }

    boolean contains(String id) {
        return entries.containsKey(id) || endedJobs.containsKey(id);
    }

    /** Returns a job; reads it first if an earlier holder ended it. */
    Optional<JobEntry> find(String id) {
        EndedJob ended = endedJobs.remove(id);
        if (ended != null) {
            ended.jobReader().get().ifPresent(job -> entries.put(id, toEntry(job, ended.state())));
        }
        return Optional.ofNullable(entries.get(id));
    }

    private static JobEntry toEntry(AcceptedJob job, JobState state) {
        JobEntry entry = new JobEntry(job, job.policy(), 0);
        entry.state(state);
        return entry;
    }

    /** Returns a job, unless an earlier holder ended it and it has not been read yet. */
    Optional<JobEntry> findLoaded(String id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns the state of a job that an earlier holder ended, while it has not been read. */
    Optional<JobState> endedStateOf(String id) {
        return Optional.ofNullable(endedJobs.get(id)).map(EndedJob::state);
    }

    void remove(String id) {
        entries.remove(id);
        endedJobs.remove(id);
    }
}
