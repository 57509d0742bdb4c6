package org.chervillift.core.requests;

import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** The result of one attempt to send a request, as seen at the connection. */
public sealed interface AttemptResult {

    /** The complete answer was received. */
    record Answered() implements AttemptResult {}

    /**
     * No byte was sent, or the other side reported that the request did not run.
     *
     * @param code the reason
     */
    record NotRun(ErrorCode code) implements AttemptResult {
        public NotRun {
            Checks.notNull("code", code);
        }
    }

    /**
     * A byte may have been sent, and no complete answer was received.
     *
     * @param code the reason
     */
    record MayHaveRun(ErrorCode code) implements AttemptResult {
        public MayHaveRun {
            Checks.notNull("code", code);
        }
    }
}
