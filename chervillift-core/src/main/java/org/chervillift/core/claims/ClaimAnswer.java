package org.chervillift.core.claims;

import java.time.Duration;
import java.util.Optional;
import org.chervillift.api.Checks;

/** The answer to a request for a claim. */
public sealed interface ClaimAnswer {

    /** The request holds the claim and may be sent once. */
    record Granted() implements ClaimAnswer {}

    /** The identifier was already used with other content. Nothing of the first use is revealed. */
    record ContentMismatch() implements ClaimAnswer {}

    /**
     * The same request has already completed.
     *
     * @param outcome its stored outcome
     */
    record AlreadyCompleted(ClaimOutcome outcome) implements ClaimAnswer {
        public AlreadyCompleted {
            Checks.notNull("outcome", outcome);
        }
    }

    /**
     * The same request was claimed before, and its outcome is not recorded yet.
     *
     * @param retryAfter the delay before the caller should retry, or empty if the maximum run time
     *     is over and no outcome is expected any more
     */
    record NotCompleted(Optional<Duration> retryAfter) implements ClaimAnswer {
        public NotCompleted {
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** The table service did not answer in time. The request was not sent and will not be. */
    record Unavailable() implements ClaimAnswer {}
}
