package org.chervillift.core.claims;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** The outcome of a claimed request. */
public sealed interface ClaimOutcome {

    /**
     * The request ran, and its answer is stored.
     *
     * @param status the HTTP status
     * @param headers the headers, each as {@code name: value}
     * @param bodyBase64 the complete body in Base64
     */
    record Answered(int status, List<String> headers, String bodyBase64) implements ClaimOutcome {
        public Answered {
            headers = List.copyOf(headers);
            Checks.notNull("bodyBase64", bodyBase64);
        }
    }

    /**
     * The request ran, but its answer was too large to be stored.
     *
     * @param status the HTTP status
     */
    record AnswerNotStored(int status) implements ClaimOutcome {}

    /**
     * The request may have run, and this cannot be determined.
     *
     * @param code the reason
     */
    record Unknown(ErrorCode code) implements ClaimOutcome {
        public Unknown {
            Checks.notNull("code", code);
        }
    }
}
