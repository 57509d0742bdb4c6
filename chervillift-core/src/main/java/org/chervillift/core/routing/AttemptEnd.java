package org.chervillift.core.routing;

import java.time.Instant;
import org.chervillift.api.Checks;

/** What an attempt at an upstream says about that upstream. */
public sealed interface AttemptEnd {

    /** It answered, and the answer is no failure of the server. */
    record Good() implements AttemptEnd {}

    /** It answered with a failure of the server. */
    record ServerFailure() implements AttemptEnd {}

    /** No connection came about, so nothing was sent. */
    record Unreachable() implements AttemptEnd {}

    /** It said that the request did not run, since it is busy. */
    record Busy() implements AttemptEnd {}

    /** It said that the request did not run, since it is leaving. */
    record Leaving() implements AttemptEnd {}

    /**
     * The connection failed, or no whole answer came in time; the request may still run there.
     *
     * @param slotUntil how long its slot counts as taken
     */
    record Lost(Instant slotUntil) implements AttemptEnd {
        public Lost {
            Checks.notNull("slotUntil", slotUntil);
        }
    }

    /** Nothing was sent after all. */
    record Unused() implements AttemptEnd {}
}
