package org.chervillift.daemon.tasks;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.tasks.JobStatus;

/**
 * What this process remembers of jobs that exist, so that it need not ask the store again.
 *
 * <p>The rows of a job are deleted some time after its end. A job that is not known to have ended
 * is remembered for less than that time, so that no deleted job is told as waiting.
 */
final class KnownJobs {

    private static final int MAX_JOBS = 20_000;

    private final long keepMillis;
    private final Map<String, SeenJob> seenJobs =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, SeenJob> eldest) {
                    return size() > MAX_JOBS;
                }
            };

    /**
     * A job that exists.
     *
     * @param customer the customer, or empty on a queue open to all
     * @param finalStatus the status, if it is known and final
     */
    record KnownJob(String customer, Optional<JobStatus> finalStatus) {}

    /** A job, and when it was last known to exist, in milliseconds. */
    private record SeenJob(KnownJob job, long seenAt) {}

    /**
     * Creates an empty memory.
     *
     * @param keepMillis how long a job exists after its end, in milliseconds
     */
    KnownJobs(long keepMillis) {
        this.keepMillis = keepMillis;
    }

    /** Returns what is remembered of a job. */
    Optional<KnownJob> find(String id, long now) {
        SeenJob seen = seenJobs.get(id);
        if (seen != null && seen.seenAt() + keepMillis <= now) {
            seenJobs.remove(id);
            return Optional.empty();
        }
        return Optional.ofNullable(seen).map(SeenJob::job);
    }

    /** Remembers a job that has been stored, or whose progress has just been read. */
    void remember(String id, KnownJob job, long now) {
        seenJobs.put(id, new SeenJob(job, now));
    }
}
