package org.chervillift.core.limits;

import org.chervillift.api.Checks;

/**
 * A value read from the platform's table, with the version of its row.
 *
 * @param version the version, or 0 if there is no row
 * @param value the value
 */
public record Versioned<T>(long version, T value) {
    public Versioned {
        Checks.notNegative("version", version);
        Checks.notNull("value", value);
    }
}
