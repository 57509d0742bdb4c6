package org.chervillift.core.fleet;

import org.chervillift.api.Checks;

/**
 * A row with the version at which it was read.
 *
 * @param row the content
 * @param version the version, at least 1
 */
public record Versioned<T>(T row, long version) {
    public Versioned {
        Checks.notNull("row", row);
        Checks.inRange("version", version, 1, Long.MAX_VALUE);
    }
}
