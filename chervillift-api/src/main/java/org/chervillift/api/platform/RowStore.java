package org.chervillift.api.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;

/**
 * A store of rows in tables whose changes can be followed.
 *
 * <p>Each stage fails with {@link StoreException} when the store does not answer well.
 */
public interface RowStore {

    /** The partition of the tables that the operator and the workers share with us. */
    String COMMON_PART = "";

    /** The most rows of one read. */
    int MOST_ROWS = 500;

    /** The most bytes of values in one transaction, which encoding lengthens by a third. */
    int MAX_COMMIT_BYTES = 700_000;

    /** Reads rows of one partition of a table, of one moment, ordered by key. */
    default CompletionStage<Page> scan(String table, String part, KeyRange range) {
        return scan(table, part, range, MOST_ROWS);
    }

    /**
     * Reads the first rows of one partition of a table, of one moment, ordered by key.
     *
     * @param most how many rows are wanted at most; fewer may come
     */
    CompletionStage<Page> scan(String table, String part, KeyRange range, int most);

    /** Writes rows of one partition, in any tables, if all conditions hold. */
    CompletionStage<Outcome> commit(String part, List<Condition> conditions, List<Write> writes);

    /** Waits for rows of a table that changed after a version. */
    CompletionStage<Changes> follow(String table, long afterVersion, Duration wait);

    /**
     * A range of keys.
     *
     * @param from the first key, if any
     * @param until the first key beyond the range, if any
     */
    record KeyRange(Optional<String> from, Optional<String> until) {

        /** All keys. */
        public static final KeyRange ALL = new KeyRange(Optional.empty(), Optional.empty());

        public KeyRange {
            Checks.notNull("from", from);
            Checks.notNull("until", until);
        }

        /** Returns the keys that come after one. */
        public static KeyRange after(String key) {
            return new KeyRange(Optional.of(key + '\0'), Optional.empty());
        }

        /** Returns the keys from one on, up to another. */
        public static KeyRange between(String from, String until) {
            return new KeyRange(Optional.of(from), Optional.of(until));
        }
    }

    /**
     * Rows as read.
     *
     * @param rows the rows
     * @param hasMore whether the range holds more rows
     * @param storeVersion the newest version in the store when it was read
     * @param storeMillis the store's steady clock then, in milliseconds, or 0 if it did not say
     */
    record Page(List<Row> rows, boolean hasMore, long storeVersion, long storeMillis) {
        public Page {
            rows = List.copyOf(rows);
        }
    }

    /** How a commit ended, when the store said so. */
    sealed interface Outcome {

        /**
         * All writes are in effect.
         *
         * @param version the version of the rows written
         * @param storeMillis the store's steady clock then, in milliseconds, or 0 if it did not say
         */
        record Committed(long version, long storeMillis) implements Outcome {}

        /**
         * Nothing was written.
         *
         * @param current the rows of the conditions, as they are
         */
        record Conflict(List<Row> current) implements Outcome {
            public Conflict {
                current = List.copyOf(current);
            }
        }
    }

    /**
     * A row that changed.
     *
     * @param key the row
     * @param version its new version
     * @param value its content, or empty if it was deleted
     */
    record Change(RowKey key, long version, Optional<String> value) {
        public Change {
            Checks.notNull("key", key);
            Checks.notNull("value", value);
        }
    }

    /** What following a table brought. */
    sealed interface Changes {

        /**
         * Changes, oldest first; none if the wait ended before.
         *
         * @param rows the changes
         * @param position from where to go on
         * @param storeMillis the store's steady clock then, in milliseconds, or 0 if it did not say
         */
        record Next(List<Change> rows, long position, long storeMillis) implements Changes {
            public Next {
                rows = List.copyOf(rows);
            }
        }

        /** The store does not know that far back; the table must be read whole. */
        record HistoryLost() implements Changes {}
    }
}
