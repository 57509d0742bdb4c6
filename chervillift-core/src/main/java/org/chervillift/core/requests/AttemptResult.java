package org.chervillift.core.requests;

import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** What became of one attempt, as the socket saw it. */
public sealed interface AttemptResult {

    /** The whole answer is here. */
    record Answered() implements AttemptResult {}

    /**
     * No byte left, or the other side said that the request did not run.
     *
     * @param code why
     */
    record NotRun(ErrorCode code) implements AttemptResult {
        public NotRun {
            Checks.notNull("code", code);
        }
    }

    /**
     * A byte may have left, and no whole answer came.
     *
     * @param code why
     */
    record Lost(ErrorCode code) implements AttemptResult {
        public Lost {
            Checks.notNull("code", code);
        }
    }
}
