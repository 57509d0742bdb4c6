package org.chervillift.daemon.tasks;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.chervillift.core.tasks.admission.FleetFigures;
import org.chervillift.http.Json;

/**
 * The number of jobs of each queue that have not started, as counted by a holder.
 *
 * @param asOfStoreMillis when the holder's copy of the jobs was complete, by the store's clock, in
 *     milliseconds; 0 if unknown
 * @param queues the queues that have such jobs
 * @param figures what decides on submissions; earlier releases write none and pass over them
 */
record PendingCounts(long asOfStoreMillis, List<PendingCount> queues, FleetFigures figures) {

    /** Counts older than this are not given to callers. */
    static final long MAX_AGE_MILLIS = 2_000;

    /** Longer figures, of thousands of queues, are left out, so that the counts fit in a row. */
    static final int MAX_FIGURES_BYTES = 16_384;

    PendingCounts {
        queues = queues == null ? List.of() : List.copyOf(queues);
        figures = figures == null ? FleetFigures.UNKNOWN : figures;
    }

    /**
     * The number of jobs of one queue that have not started.
     *
     * @param queue the name of the queue
     * @param jobs the number of jobs
     */
    record PendingCount(String queue, int jobs) {}

    static PendingCounts of(Map<String, Integer> counts, long asOfStoreMillis) {
        return of(counts, asOfStoreMillis, FleetFigures.UNKNOWN);
    }

    static PendingCounts of(
            Map<String, Integer> counts, long asOfStoreMillis, FleetFigures figures) {
        return new PendingCounts(
                asOfStoreMillis,
                counts.entrySet().stream()
                        .map(e -> new PendingCount(e.getKey(), e.getValue()))
                        .toList(),
                withinBound(figures));
    }

    private static FleetFigures withinBound(FleetFigures figures) {
        int bytes = Json.encode(figures).getBytes(StandardCharsets.UTF_8).length;
        return bytes <= MAX_FIGURES_BYTES ? figures : FleetFigures.UNKNOWN;
    }

    /** Returns the age of the counts, in milliseconds. */
    long ageMillis(long nowStoreMillis) {
        return nowStoreMillis - asOfStoreMillis;
    }

    /**
     * Returns whether the counts are recent enough to be given to callers.
     *
     * <p>If the age is negative, it is unknown: a time is missing, or the store's clock was reset
     * by a restart.
     */
    boolean isFreshAt(long nowStoreMillis) {
        return asOfStoreMillis > 0 && isFresh(ageMillis(nowStoreMillis));
    }

    /** Returns whether counts of an age, in milliseconds, may be given to callers. */
    static boolean isFresh(long ageMillis) {
        return ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS;
    }

    /** Returns the number of jobs of a queue that have not started. */
    int of(String queue) {
        return queues.stream()
                .filter(q -> q.queue().equals(queue))
                .mapToInt(PendingCount::jobs)
                .findFirst()
                .orElse(0);
    }
}
