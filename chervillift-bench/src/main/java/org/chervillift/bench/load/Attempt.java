package org.chervillift.bench.load;

import org.chervillift.api.Checks;

/** What a caller was told by one attempt. */
public sealed interface Attempt {

    /**
     * The request was completed.
     *
     * @param body the answer
     */
    record Completed(String body) implements Attempt {
        public Completed {
            Checks.notNull("body", body);
        }
    }

    /**
     * The caller was told that the request has not run.
     *
     * @param code the number of the error
     */
    record NotRun(String code) implements Attempt {}

    /**
     * The caller was told that the request may have run, or was told nothing.
     *
     * @param detail what was seen
     */
    record Unknown(String detail) implements Attempt {}
}
