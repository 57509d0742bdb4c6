package org.chervillift.core.keys;

import java.time.Duration;
import org.chervillift.api.Checks;

/** Whose work a request is, by its key. */
public sealed interface KeyDecision {

    /**
     * The key stands for a team, and it is in force.
     *
     * @param team the team
     */
    record OfTeam(String team) implements KeyDecision {
        public OfTeam {
            Checks.notBlank("team", team);
        }
    }

    /** The queue is open to all, and no team's key counts. */
    record OfAnyone() implements KeyDecision {}

    /** The key is missing or not in force. */
    record Refused() implements KeyDecision {}

    /**
     * This process cannot vouch that the key is still in force.
     *
     * @param retryAfter when it is worth asking again
     */
    record NotFresh(Duration retryAfter) implements KeyDecision {
        public NotFresh {
            Checks.notNull("retryAfter", retryAfter);
        }
    }
}
