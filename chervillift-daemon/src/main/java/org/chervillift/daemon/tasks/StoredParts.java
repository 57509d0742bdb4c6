package org.chervillift.daemon.tasks;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import org.chervillift.api.platform.RowKey;

/** The keys of the stored parts of progress, and of those that are needed no more. */
final class StoredParts {

    private final NavigableSet<String> stored = new TreeSet<>();
    private final Set<String> unneeded = new LinkedHashSet<>();

    /** Records that a part is stored, and needed. */
    void add(String key) {
        stored.add(key);
        unneeded.remove(key);
    }

    /** Records that a part is needed again. */
    void markNeeded(String key) {
        unneeded.remove(key);
    }

    /** Records that a part is deleted. */
    void remove(String key) {
        stored.remove(key);
        unneeded.remove(key);
    }

    /** Records that a part is needed no more. */
    void markUnneeded(String key) {
        unneeded.add(key);
    }

    /** Records that the parts of some occurrences of a job are needed no more. */
    void markUnneeded(String jobId, IntPredicate occurrences) {
        String key = stored.ceiling(StoreLayout.partsPrefix(jobId));
        while (key != null && key.startsWith(StoreLayout.partsPrefix(jobId))) {
            int occurrence = StoreLayout.occurrenceOfPart(key);
            String prefix = StoreLayout.occurrencePrefix(jobId, occurrence);
            if (occurrences.test(occurrence)) {
                unneeded.addAll(stored.subSet(prefix, prefix + Character.MAX_VALUE));
            }
            key = stored.higher(prefix + Character.MAX_VALUE);
        }
    }

    /** Returns whether parts are to be deleted. */
    boolean hasUnneeded() {
        return !unneeded.isEmpty();
    }

    /** Returns the parts to delete next, at most some. */
    List<RowKey> unneeded(int most) {
        return unneeded.stream()
                .limit(most)
                .map(k -> new RowKey(StoreLayout.PARTS_TABLE, k))
                .toList();
    }
}
