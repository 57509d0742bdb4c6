package org.chervillift.core.report;

import java.time.Duration;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** How a request was answered, as far as objectives care. */
public sealed interface AnswerOutcome {

    /**
     * An upstream's whole answer was passed on.
     *
     * @param status the HTTP status of the upstream
     * @param took the time from the first line of the request to the answer
     */
    record Answered(int status, Duration took) implements AnswerOutcome {
        public Answered {
            Checks.notNull("took", took);
        }
    }

    /**
     * The request got no answer of an upstream.
     *
     * @param code why
     */
    record Refused(ErrorCode code) implements AnswerOutcome {
        public Refused {
            Checks.notNull("code", code);
        }
    }
}
