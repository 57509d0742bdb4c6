package org.chervillift.http;

import org.chervillift.api.Checks;

/**
 * A whole answer that came over HTTP.
 *
 * @param status the HTTP status
 * @param body the body as text
 */
public record HttpAnswer(int status, String body) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    public HttpAnswer {
        Checks.notNull("body", body);
    }

    /** Returns whether the status says success. */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }
}
