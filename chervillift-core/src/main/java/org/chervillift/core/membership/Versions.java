package org.chervillift.core.membership;

import org.chervillift.api.Checks;

/**
 * The versions of configuration and key ring that a process holds.
 *
 * @param config the version of the configuration
 * @param keyRing the version of the key ring
 */
public record Versions(long config, long keyRing) {

    /** The versions of a process that holds nothing. */
    public static final Versions NONE = new Versions(0, 0);

    public Versions {
        Checks.notNegative("config", config);
        Checks.notNegative("keyRing", keyRing);
    }

    /** Returns the version of one kind of content. */
    public long of(ContentKind kind) {
        return switch (kind) {
            case CONFIG -> config;
            case KEY_RING -> keyRing;
        };
    }

    /** Returns the higher version of each kind. */
    public Versions max(Versions other) {
        return new Versions(Math.max(config, other.config), Math.max(keyRing, other.keyRing));
    }
}
