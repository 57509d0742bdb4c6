package org.chervillift.core.tasks;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The pools in which tasks of a step may have been started.
 *
 * <p>A queue may be moved from pool to pool while its tasks run, so the pool that it has now need
 * not be the pool of the workers that run them.
 */
final class BegunPools {

    private final SortedSet<String> begun = new TreeSet<>();
    private final SortedSet<String> stored = new TreeSet<>();
    private final SortedSet<String> begunByPredecessor = new TreeSet<>();
    private boolean predecessorBegan;
    private boolean unknown;

    /** Returns whether tasks may have been started in any pool. */
    boolean isEmpty() {
        return begun.isEmpty() && !unknown;
    }

    void add(String pool) {
        begun.add(pool);
    }

    /** Returns whether it is stored that tasks may have been started in a pool. */
    boolean isStored(String pool) {
        return unknown || stored.contains(pool);
    }

    /** Returns what is to be stored: the pools, or none if they are not known. */
    List<String> toStored() {
        return unknown ? List.of() : List.copyOf(begun);
    }

    void markStored(List<String> pools) {
        begun.addAll(pools);
        stored.addAll(pools);
    }

    /**
     * Restores what an earlier holder stored.
     *
     * @param pools the pools; empty if these are not known
     */
    void restore(List<String> pools) {
        markStored(pools);
        begunByPredecessor.addAll(pools);
        predecessorBegan = true;
        unknown |= pools.isEmpty();
    }

    /** Returns whether an earlier holder may have started tasks in one of some pools. */
    boolean mayHaveBegunByPredecessor(Set<String> pools) {
        return predecessorBegan
                && (unknown ? !pools.isEmpty() : !Collections.disjoint(begunByPredecessor, pools));
    }
}
