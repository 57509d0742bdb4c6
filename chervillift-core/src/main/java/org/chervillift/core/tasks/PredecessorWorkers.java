package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/** The workers on which an earlier holder may have started tasks that this holder does not know. */
final class PredecessorWorkers {

    private final Map<String, String> poolsByWorker = new HashMap<>();
    private final long leasesEndAt;

    /**
     * Creates an empty set.
     *
     * @param leasesEndAt when the last lease ends that an earlier holder granted, in milliseconds
     */
    PredecessorWorkers(long leasesEndAt) {
        this.leasesEndAt = leasesEndAt;
    }

    void add(String workerId, String pool) {
        poolsByWorker.put(workerId, pool);
    }

    /** Removes a worker that has reported all of its runs, or whose lifetime has ended. */
    void remove(String workerId) {
        poolsByWorker.remove(workerId);
    }

    boolean contains(String workerId) {
        return poolsByWorker.containsKey(workerId);
    }

    /** Returns the pools by worker identifier. */
    Map<String, String> poolsByWorker() {
        return Map.copyOf(poolsByWorker);
    }

    long leasesEndAt() {
        return leasesEndAt;
    }

    /**
     * Returns the pools of the workers that may have runs which this holder does not know.
     *
     * @param lastLeaseEndsAt returns when the last lease of a worker ends, in milliseconds
     */
    Set<String> poolsOfUnknownRuns(ToLongFunction<String> lastLeaseEndsAt, long now) {
        return poolsByWorker.entrySet().stream()
                .filter(e -> now <= lastLeaseEndsAt.applyAsLong(e.getKey()))
                .map(Map.Entry::getValue)
                .collect(Collectors.toSet());
    }
}
