package org.chervillift.core.keys;

import java.time.Duration;
import org.chervillift.api.Checks;

/** The result of authenticating a request by its key. */
public sealed interface KeyDecision {

    /**
     * The key is valid and belongs to a team.
     *
     * @param team the team
     */
    record Authenticated(String team) implements KeyDecision {
        public Authenticated {
            Checks.notBlank("team", team);
        }
    }

    /** The queue is open to all, and the request is not assigned to a team. */
    record Anonymous() implements KeyDecision {}

    /** The key is missing or not valid. */
    record Refused() implements KeyDecision {}

    /**
     * This process cannot tell whether the key is still valid, as its ring may be out of date.
     *
     * @param retryAfter the delay before the caller should retry
     */
    record RingStale(Duration retryAfter) implements KeyDecision {
        public RingStale {
            Checks.notNull("retryAfter", retryAfter);
        }
    }
}
