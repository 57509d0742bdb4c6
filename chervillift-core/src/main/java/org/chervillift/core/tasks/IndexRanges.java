package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.core.tasks.JobProgress.IndexRange;

/**
 * A set of indexes, kept as ranges.
 *
 * <p>Tasks are started in the order of their indexes, so those that are done form few ranges: the
 * set takes memory by the gaps between them, not by their number.
 */
final class IndexRanges {

    private final TreeMap<Integer, Integer> lastByFirst = new TreeMap<>();
    private int size;

    int size() {
        return size;
    }

    boolean contains(int index) {
        Map.Entry<Integer, Integer> before = lastByFirst.floorEntry(index);
        return before != null && index <= before.getValue();
    }

    /** Adds an index; returns false if it is in the set already. */
    boolean add(int index) {
        if (contains(index)) {
            return false;
        }
        addAll(new IndexRange(index, index));
        return true;
    }

    /** Adds all indexes of a range, and joins it with the ranges that it overlaps or touches. */
    void addAll(IndexRange range) {
        int first = range.first();
        int last = range.last();
        Map.Entry<Integer, Integer> joined = lastByFirst.floorEntry(last + 1);
        while (joined != null && joined.getValue() >= first - 1) {
            lastByFirst.remove(joined.getKey());
            size -= joined.getValue() - joined.getKey() + 1;
            first = Math.min(first, joined.getKey());
            last = Math.max(last, joined.getValue());
            joined = lastByFirst.lowerEntry(joined.getKey());
        }
        lastByFirst.put(first, last);
        size += last - first + 1;
    }

    /** Returns the lowest index from the given one on that is not in the set. */
    int nextMissing(int from) {
        Map.Entry<Integer, Integer> before = lastByFirst.floorEntry(from);
        return before != null && from <= before.getValue() ? before.getValue() + 1 : from;
    }

    /** Returns the ranges in ascending order; no two of them touch. */
    List<IndexRange> toList() {
        List<IndexRange> ranges = new ArrayList<>(lastByFirst.size());
        lastByFirst.forEach((first, last) -> ranges.add(new IndexRange(first, last)));
        return ranges;
    }
}
