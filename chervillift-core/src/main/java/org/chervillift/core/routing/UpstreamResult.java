package org.chervillift.core.routing;

import java.time.Instant;
import org.chervillift.api.Checks;

/** The result of an attempt at an upstream, as far as it shows the health of that upstream. */
public sealed interface UpstreamResult {

    /** The upstream answered without a server error. */
    record Succeeded() implements UpstreamResult {}

    /** The upstream answered with a server error. */
    record ServerFailure() implements UpstreamResult {}

    /** No connection could be opened, so nothing was sent. */
    record Unreachable() implements UpstreamResult {}

    /** The upstream answered that it is busy and did not run the request. */
    record Busy() implements UpstreamResult {}

    /** The upstream answered that it is leaving and did not run the request. */
    record Leaving() implements UpstreamResult {}

    /**
     * The connection failed or no complete answer arrived in time; the request may still be
     * running.
     *
     * @param slotUntil the time until which its slot counts as taken
     */
    record ResponseLost(Instant slotUntil) implements UpstreamResult {
        public ResponseLost {
            Checks.notNull("slotUntil", slotUntil);
        }
    }

    /** The attempt was dropped before anything was sent. */
    record NotSent() implements UpstreamResult {}
}
