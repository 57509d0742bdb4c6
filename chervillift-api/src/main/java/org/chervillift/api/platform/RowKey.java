package org.chervillift.api.platform;

import org.chervillift.api.Checks;

/**
 * The name of a row.
 *
 * @param table the table
 * @param key the key within the table
 */
public record RowKey(String table, String key) {
    public RowKey {
        Checks.notBlank("table", table);
        Checks.notBlank("key", key);
    }
}
