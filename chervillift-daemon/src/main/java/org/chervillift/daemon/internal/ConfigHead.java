package org.chervillift.daemon.internal;

import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;

/**
 * The row that names the configuration in force.
 *
 * @param version the version of the configuration
 * @param object the object that holds it
 * @param digest the SHA-256 of its content without the version
 * @param operator who applied it
 * @param appliedAtMillis when it was applied, in milliseconds since 1970 UTC
 */
public record ConfigHead(
        long version, String object, String digest, String operator, long appliedAtMillis) {

    /** The key of the row. */
    public static final RowKey KEY = new RowKey("config", "head");

    public ConfigHead {
        Checks.inRange("version", version, 1, Long.MAX_VALUE);
        Checks.notBlank("object", object);
        Checks.notBlank("digest", digest);
        Checks.notBlank("operator", operator);
    }
}
