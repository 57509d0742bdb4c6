package org.chervillift.core.claims;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;

/** What a request learns when it asks for its claim. */
public sealed interface ClaimAnswer {

    /** This request holds the claim, and may be sent once. */
    record Granted() implements ClaimAnswer {}

    /** The identifier was used with other content; nothing of the first use is told. */
    record OtherContent() implements ClaimAnswer {}

    /**
     * The same request ended before.
     *
     * @param outcome how it ended
     */
    record Ended(Outcome outcome) implements ClaimAnswer {
        public Ended {
            Checks.notNull("outcome", outcome);
        }
    }

    /**
     * The same request was taken before, and no end of it is known.
     *
     * @param retryAfter when an end may be known, or empty if its entry VM had time enough
     */
    record Unended(Optional<Duration> retryAfter) implements ClaimAnswer {
        public Unended {
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** The table service did not answer in time; the request was not sent and will not be. */
    record Unavailable() implements ClaimAnswer {}
}
