package org.chervillift.core.claims;

import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;

/** How a claimed request ended. */
public sealed interface Outcome {

    /**
     * It ran, and the answer is kept.
     *
     * @param status the HTTP status
     * @param headers the headers, each as {@code name: value}
     * @param bodyBase64 the whole body in Base64
     */
    record Answered(int status, List<String> headers, String bodyBase64) implements Outcome {
        public Answered {
            headers = List.copyOf(headers);
            Checks.notNull("bodyBase64", bodyBase64);
        }
    }

    /**
     * It ran, and the answer was too large to be kept.
     *
     * @param status the HTTP status
     */
    record AnswerNotKept(int status) implements Outcome {}

    /**
     * It may have run, and nobody can know.
     *
     * @param code why
     */
    record Unknown(ErrorCode code) implements Outcome {
        public Unknown {
            Checks.notNull("code", code);
        }
    }
}
