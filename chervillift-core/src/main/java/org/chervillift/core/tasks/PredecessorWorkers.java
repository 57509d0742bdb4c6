package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

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

    /** Removes a worker that has reported its runs, or whose lifetime has ended. */
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

    /** Returns whether every run of a step that an earlier holder may have started is known. */
    boolean mayStart(StepEntry step, long now) {
        if (!step.isBegunByPredecessor() || now > leasesEndAt) {
            return true;
        }
        JobEntry job = step.job();
        Collection<String> pools = poolsByWorker.values();
        return !pools.contains(job.policy().pool()) && !pools.contains(job.job().policy().pool());
    }
}
