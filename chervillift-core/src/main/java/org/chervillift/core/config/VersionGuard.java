package org.chervillift.core.config;

import org.chervillift.api.Checks;

/**
 * Prevents a process from going back to a lower version of a configuration.
 *
 * <p>Immutable: the process replaces its guard with the one in an {@link Adopt}.
 *
 * @param version the version that the process holds, or 0 for none
 * @param digest the digest of that version, blank for version 0
 */
public record VersionGuard(long version, String digest) {

    /** The guard of a process that holds no version. */
    public static final VersionGuard NONE = new VersionGuard(0, "");

    public VersionGuard {
        Checks.notNegative("version", version);
        Checks.notNull("digest", digest);
    }

    /** What a process has to do with an offered version. */
    public sealed interface OfferDecision {}

    /**
     * The process adopts the offered version.
     *
     * @param next the guard to use from then on
     */
    public record Adopt(VersionGuard next) implements OfferDecision {}

    /** The process keeps its version because the offered one is not newer. */
    public record Keep() implements OfferDecision {}

    /**
     * The process keeps its content and reports an error: the same version has two contents.
     *
     * @param heldDigest the digest that the process holds
     * @param offeredDigest the digest that was offered
     */
    public record DigestConflict(String heldDigest, String offeredDigest)
            implements OfferDecision {}

    /** Decides on a version offered by the store or a peer. */
    public OfferDecision decideOnOffer(long offeredVersion, String offeredDigest) {
        if (offeredVersion > version) {
            return new Adopt(new VersionGuard(offeredVersion, offeredDigest));
        }
        if (offeredVersion == version && version > 0 && !offeredDigest.equals(digest)) {
            return new DigestConflict(digest, offeredDigest);
        }
        return new Keep();
    }
}
