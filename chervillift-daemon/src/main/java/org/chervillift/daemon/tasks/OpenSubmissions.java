package org.chervillift.daemon.tasks;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The submissions of this process that are being stored, or of which it is not known whether they
 * were. A read of the store does not tell that their jobs will not be there.
 */
final class OpenSubmissions {

    /** Far longer than a call to the store can be under way. */
    static final long KEPT_MILLIS = 60_000;

    static final int MAX_UNKNOWN = 20_000;

    private final Map<String, Integer> beingStored = new HashMap<>();
    private final Map<String, Long> unknownSince =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_UNKNOWN;
                }
            };

    /** Records that a job is being stored. */
    void begin(String jobId) {
        beingStored.merge(jobId, 1, Integer::sum);
    }

    /**
     * Records that storing a job has ended.
     *
     * @param known whether it is known whether the job was stored
     */
    void end(String jobId, boolean known, long now) {
        beingStored.computeIfPresent(jobId, (id, count) -> count == 1 ? null : count - 1);
        if (!known) {
            recordUnknown(jobId, now);
        }
    }

    /** Records that it is not known whether a job was stored, here or by another entry VM. */
    void recordUnknown(String jobId, long now) {
        unknownSince.remove(jobId);
        unknownSince.put(jobId, now);
    }

    /** Returns whether a job may be stored by a submission to this process. */
    boolean mayStore(String jobId, long now) {
        Long since = unknownSince.get(jobId);
        return beingStored.containsKey(jobId) || since != null && now - since < KEPT_MILLIS;
    }
}
