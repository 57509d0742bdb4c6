package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobState;

/**
 * The jobs by identifier.
 *
 * <p>Answers a change of holder late in a day: nearly all jobs are over by then, and reading what
 * they were is most of the work. A job that was over before is read when something asks for it.
 */
final class JobTable {

    private final Map<String, JobEntry> entries = new LinkedHashMap<>();
    private final Map<String, Over> over = new HashMap<>();

    /** A job that an earlier holder ended. */
    private record Over(JobState state, Supplier<Optional<AcceptedJob>> job) {}

    void put(JobEntry job) {
        entries.put(job.id(), job);
    }

    /**
     * Adds a job that an earlier holder ended.
     *
     * @param job reads the job; empty if it cannot be read
     */
    void putOver(String id, JobState state, Supplier<Optional<AcceptedJob>> job) {
        over.put(id, new Over(state, job));
    }

    boolean contains(String id) {
        return entries.containsKey(id) || over.containsKey(id);
    }

    /** Returns a job. */
    Optional<JobEntry> find(String id) {
        Over ended = over.remove(id);
        if (ended != null) {
            ended.job().get().ifPresent(job -> entries.put(id, entry(job, ended.state())));
        }
        return Optional.ofNullable(entries.get(id));
    }

    private static JobEntry entry(AcceptedJob job, JobState state) {
        JobEntry entry = new JobEntry(job, job.policy(), 0);
        entry.state(state);
        return entry;
    }

    /** Returns a job unless an earlier holder ended it. */
    Optional<JobEntry> findRecent(String id) {
        return Optional.ofNullable(entries.get(id));
    }

    /** Returns the state of a job that an earlier holder ended. */
    Optional<JobState> stateOver(String id) {
        return Optional.ofNullable(over.get(id)).map(Over::state);
    }

    void remove(String id) {
        entries.remove(id);
        over.remove(id);
    }
}
