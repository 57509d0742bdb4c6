package org.chervillift.daemon.tasks;

import java.util.List;
import java.util.Map;

/**
 * How many jobs of each queue have not started, as a holder counted them.
 *
 * @param asOfStoreMillis up to when the holder knew all jobs, by the store's clock, in
 *     milliseconds; 0 if it is not known
 * @param queues the queues with such jobs
 */
record PendingCounts(long asOfStoreMillis, List<PendingCount> queues) {

    /** A count that is older than this is not told to callers. */
    static final long MOST_AGE_MILLIS = 2_000;

    PendingCounts {
        queues = queues == null ? List.of() : List.copyOf(queues);
    }

    /**
     * The jobs of a queue that have not started.
     *
     * @param queue the queue
     * @param jobs how many
     */
    record PendingCount(String queue, int jobs) {}

    static PendingCounts of(Map<String, Integer> counts, long asOfStoreMillis) {
        return new PendingCounts(
                asOfStoreMillis,
                counts.entrySet().stream()
                        .map(e -> new PendingCount(e.getKey(), e.getValue()))
                        .toList());
    }

    /** Returns how old the counts are, in milliseconds. */
    long ageMillis(long nowStoreMillis) {
        return nowStoreMillis - asOfStoreMillis;
    }

    /**
     * Returns whether the counts may be told to callers.
     *
     * <p>Counts from a later time than the present have no age: a time is missing, or the store's
     * clock has started anew.
     */
    boolean mayBeTold(long nowStoreMillis) {
        long age = ageMillis(nowStoreMillis);
        return asOfStoreMillis > 0 && age >= 0 && age <= MOST_AGE_MILLIS;
    }

    /** Returns how many jobs of a queue have not started. */
    int of(String queue) {
        return queues.stream()
                .filter(q -> q.queue().equals(queue))
                .mapToInt(PendingCount::jobs)
                .findFirst()
                .orElse(0);
    }
}
