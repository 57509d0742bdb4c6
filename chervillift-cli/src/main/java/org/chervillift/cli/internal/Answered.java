package org.chervillift.cli.internal;

import org.chervillift.api.ErrorCode;
import org.chervillift.http.ErrorBody;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Turns a daemon's answers into outcomes. */
public final class Answered {

    private Answered() {}

    /** Returns the outcome of an answer that reports an error. */
    public static Outcome refused(HttpAnswer answer) {
        ErrorBody error = Json.decode(answer.body(), ErrorBody.class);
        if (error.code() == ErrorCode.OUTCOME_UNKNOWN.number()) {
            return new Outcome(
                    Outcome.UNKNOWN,
                    "Not known (%d): %s".formatted(error.code(), error.detail()),
                    answer.body());
        }
        return new Outcome(
                Outcome.REFUSED,
                "Refused (%d): %s".formatted(error.code(), error.detail()),
                answer.body());
    }
}
