package org.chervillift.bench.waves;

import java.time.Instant;

/** An invariant was seen broken. */
public final class InvariantBroken extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception that says what was seen and when. */
    public InvariantBroken(String what, Instant now) {
        super(what + " At " + now + ".");
    }
}
