package org.chervillift.api.config;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * All keys in force at one version.
 *
 * @param version grows by one with each grant or withdrawal
 * @param grants the keys in force, unique by identifier
 */
public record KeyRing(long version, List<KeyGrant> grants) {

    /** The ring before the first grant. */
    public static final KeyRing EMPTY = new KeyRing(0, List.of());

    public KeyRing {
        Checks.notNegative("version", version);
        grants = List.copyOf(grants);
    }
}
