package org.chervillift.api.platform;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * Writes that take effect together, or not at all.
 *
 * @param token makes the transaction idempotent: the platform answers the same token with the
 *     outcome of the first time, for at least an hour
 * @param conditions versions that the rows must have
 * @param writes the rows to put or delete
 */
public record Transaction(String token, List<Condition> conditions, List<Write> writes) {

    public Transaction {
        Checks.notBlank("token", token);
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
    }

    /**
     * The version that a row must have.
     *
     * @param key the row
     * @param version the version, or 0 where the row must not exist
     */
    public record Condition(RowKey key, long version) {
        public Condition {
            Checks.notNull("key", key);
            Checks.notNegative("version", version);
        }
    }

    /**
     * One write.
     *
     * @param key the row
     * @param value the new content as JSON text, or empty to delete the row
     */
    public record Write(RowKey key, Optional<String> value) {
        public Write {
            Checks.notNull("key", key);
            Checks.notNull("value", value);
        }

        /** Returns a write that puts content. */
        public static Write put(RowKey key, String value) {
            return new Write(key, Optional.of(value));
        }

        /** Returns a write that deletes the row. */
        public static Write delete(RowKey key) {
            return new Write(key, Optional.empty());
        }
    }
}
