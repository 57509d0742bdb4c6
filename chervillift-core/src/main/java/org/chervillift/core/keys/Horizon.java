package org.chervillift.core.keys;

import java.time.Instant;

/**
 * The end of the time for which a ring counts as fresh.
 *
 * @param ringVersion a process that holds this ring or a later one may rely on it
 * @param until the end
 */
record Horizon(long ringVersion, Instant until) {

    static final Horizon NONE = new Horizon(0, Instant.MIN);

    Instant under(long heldVersion) {
        return ringVersion <= heldVersion ? until : Instant.MIN;
    }

    Horizon latest(Horizon other) {
        return other.until.isAfter(until) ? other : this;
    }

    static Instant later(Instant a, Instant b) {
        return a.isAfter(b) ? a : b;
    }

    static Instant earlier(Instant a, Instant b) {
        return a.isBefore(b) ? a : b;
    }
}
