package org.chervillift.api.platform;

import org.chervillift.api.Checks;

/** How a transaction ended, when the platform said so. */
public sealed interface CommitResult {

    /** All writes are in effect. */
    record Committed() implements CommitResult {}

    /**
     * Nothing was written, since a row had another version.
     *
     * @param key the first such row
     */
    record Conflict(RowKey key) implements CommitResult {
        public Conflict {
            Checks.notNull("key", key);
        }
    }
}
