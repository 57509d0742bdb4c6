package org.chervillift.core.config;

import org.chervillift.api.Checks;

/**
 * Keeps a process from going back to a lower version.
 *
 * <p>A guard is immutable; the process replaces its guard by the one of an {@link Adopt}.
 *
 * @param version the version that the process holds; 0 for none
 * @param digest the digest of the content that it holds, blank at version 0
 */
public record VersionGuard(long version, String digest) {

    /** The guard of a process that holds nothing. */
    public static final VersionGuard NONE = new VersionGuard(0, "");

    public VersionGuard {
        Checks.notNegative("version", version);
        Checks.notNull("digest", digest);
    }

    /** What a process does with an offered version. */
    public sealed interface Answer {}

    /**
     * The process takes the offered version.
     *
     * @param next the guard from then on
     */
    public record Adopt(VersionGuard next) implements Answer {}

    /** The process keeps what it holds, as the offer is not newer. */
    public record Keep() implements Answer {}

    /**
     * The process keeps what it holds, and reports a fault: one version with two contents.
     *
     * @param held the digest that the process holds
     * @param offered the other digest
     */
    public record Contradiction(String held, String offered) implements Answer {}

    /** Decides on a version that the store or a peer offers. */
    public Answer offer(long offeredVersion, String offeredDigest) {
        if (offeredVersion > version) {
            return new Adopt(new VersionGuard(offeredVersion, offeredDigest));
        }
        if (offeredVersion == version && version > 0 && !offeredDigest.equals(digest)) {
            return new Contradiction(digest, offeredDigest);
        }
        return new Keep();
    }
}
