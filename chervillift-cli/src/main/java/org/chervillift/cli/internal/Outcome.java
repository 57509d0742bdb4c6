package org.chervillift.cli.internal;

import org.chervillift.api.Checks;

/**
 * What a command came to.
 *
 * @param exitCode the exit code of the program
 * @param text plain lines for a reader
 * @param json the same as JSON
 */
public record Outcome(int exitCode, String text, String json) {

    /** All was done. */
    public static final int DONE = 0;

    /** The request was refused or failed; nothing is known to have changed. */
    public static final int REFUSED = 1;

    /** The command line is wrong. */
    public static final int USAGE = 2;

    /** No daemon answered; the request may have taken effect. */
    public static final int UNKNOWN = 3;

    /** A version is not in force everywhere yet. */
    public static final int NOT_EVERYWHERE = 4;

    public Outcome {
        Checks.notNull("text", text);
        Checks.notNull("json", json);
    }

    /** Returns the outcome of a request that was carried out. */
    public static Outcome done(String text, String json) {
        return new Outcome(DONE, text, json);
    }
}
