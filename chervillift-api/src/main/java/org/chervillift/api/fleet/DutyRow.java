package org.chervillift.api.fleet;

import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;

/**
 * The lease of a duty that one process holds at a time.
 *
 * @param name unique name
 * @param holder the process that holds it
 * @param fence grows by one with each new holder
 * @param expiresAtMillis when the lease lapses, in milliseconds since 1970 UTC
 */
public record DutyRow(String name, String holder, long fence, long expiresAtMillis) {

    /** The table of these rows; the key is the duty's name. */
    public static final String TABLE = "duty";

    public DutyRow {
        Checks.notBlank("name", name);
        Checks.notNull("holder", holder);
        Checks.notNegative("fence", fence);
    }

    /** Returns the key of a duty's row. */
    public static RowKey key(String name) {
        return new RowKey(TABLE, name);
    }
}
