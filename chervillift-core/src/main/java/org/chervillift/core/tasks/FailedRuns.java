package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The numbers of the failed runs of a task, each of which counts once.
 *
 * <p>Only the newest are kept, so that a task that may fail very often takes bounded space; the
 * others are counted.
 */
final class FailedRuns {

    private static final int MAX_KEPT = 200;

    private final SortedSet<Integer> newest = new TreeSet<>();
    private int earlierCount;

    /** Adds a run; returns false if it is counted already. */
    boolean add(int run) {
        boolean counted = newest.contains(run) || earlierCount > 0 && run < newest.first();
        if (counted) {
            return false;
        }
        newest.add(run);
        if (newest.size() > MAX_KEPT) {
            newest.removeFirst();
            earlierCount++;
        }
        return true;
    }

    void addAll(Collection<Integer> runs) {
        runs.forEach(this::add);
    }

    int count() {
        return earlierCount + newest.size();
    }

    boolean isEmpty() {
        return newest.isEmpty();
    }

    /** Returns the numbers that are kept, in ascending order. */
    List<Integer> kept() {
        return List.copyOf(newest);
    }
}
