package org.chervillift.api.platform;

import org.chervillift.api.Checks;

/**
 * A row as it was read.
 *
 * @param key the name of the row
 * @param version grows with each write to the row, also over a deletion; at least 1
 * @param value the content, as JSON text
 */
public record Row(RowKey key, long version, String value) {
    public Row {
        Checks.notNull("key", key);
        Checks.inRange("version", version, 1, Long.MAX_VALUE);
        Checks.notNull("value", value);
    }
}
