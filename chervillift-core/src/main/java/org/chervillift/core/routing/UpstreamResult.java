package org.chervillift.core.routing;

import java.time.Instant;
import org.chervillift.api.Checks;

/** What an attempt at an upstream says about that upstream. */
public sealed interface UpstreamResult {

    /** It answered, and the answer is no failure of the server. */
    record Succeeded() implements UpstreamResult {}

    /** It answered with a failure of the server. */
    record ServerFailure() implements UpstreamResult {}

    /** No connection came about, so nothing was sent. */
    record Unreachable() implements UpstreamResult {}

    /** It said that the request did not run, since it is busy. */
    record Busy() implements UpstreamResult {}

    /** It said that the request did not run, since it is leaving. */
    record Leaving() implements UpstreamResult {}

    /**
     * The connection failed, or no whole answer came in time; the request may still run there.
     *
     * @param slotUntil how long its slot counts as taken
     */
    record ResponseLost(Instant slotUntil) implements UpstreamResult {
        public ResponseLost {
            Checks.notNull("slotUntil", slotUntil);
        }
    }

    /** Nothing was sent after all. */
    record NotSent() implements UpstreamResult {}
}
