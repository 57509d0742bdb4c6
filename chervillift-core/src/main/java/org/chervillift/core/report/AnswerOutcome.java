package org.chervillift.core.report;

import java.time.Duration;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** How a request was answered, as counted for service-level objectives. */
public sealed interface AnswerOutcome {

    /**
     * The complete answer of an upstream was forwarded.
     *
     * @param status the HTTP status of the upstream
     * @param took the time from the first line of the request until the answer
     */
    record Answered(int status, Duration took) implements AnswerOutcome {
        public Answered {
            Checks.notNull("took", took);
        }
    }

    /**
     * The request was answered without an answer of an upstream.
     *
     * @param code the reason
     */
    record Refused(ErrorCode code) implements AnswerOutcome {
        public Refused {
            Checks.notNull("code", code);
        }
    }
}
