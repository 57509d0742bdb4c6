package org.chervillift.core.keys;

import java.time.Instant;

/**
 * The time until which a ring version counts as fresh.
 *
 * @param ringVersion the ring version; a process that holds it or a later one may rely on it
 * @param expiresAt the time until which the ring is fresh
 */
record RingExpiry(long ringVersion, Instant expiresAt) {

    static final RingExpiry NONE = new RingExpiry(0, Instant.MIN);

    Instant forHeldRing(long heldVersion) {
        return ringVersion <= heldVersion ? expiresAt : Instant.MIN;
    }

    RingExpiry latest(RingExpiry other) {
        return other.expiresAt.isAfter(expiresAt) ? other : this;
    }

    static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }
}
