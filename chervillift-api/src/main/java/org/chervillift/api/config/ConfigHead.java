package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * Which configuration is the accepted one, and who applied it.
 *
 * <p>One row holds the present head; one row a version keeps the earlier ones.
 *
 * @param version the version; 0 before the first sheet
 * @param object the object that holds the content, blank at version 0
 * @param digest the SHA-256 of the content, blank at version 0
 * @param operator who applied it
 * @param appliedAtMillis when it was applied, in milliseconds since 1970 UTC
 */
public record ConfigHead(
        long version, String object, String digest, String operator, long appliedAtMillis) {

    /** The head before the first sheet. */
    public static final ConfigHead NONE = new ConfigHead(0, "", "", "", 0);

    public ConfigHead {
        Checks.notNegative("version", version);
        Checks.notNull("object", object);
        Checks.notNull("digest", digest);
        Checks.notNull("operator", operator);
        Checks.notNegative("appliedAtMillis", appliedAtMillis);
        Checks.that(version == 0 || !digest.isBlank(), "digest must not be blank");
    }
}
