package org.chervillift.daemon.tasks;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobAnswer;

/**
 * An answer to a caller, and what it was told from.
 *
 * @param answer the answer
 * @param basis what it was told from
 */
record Told(JobAnswer answer, Basis basis) {
    Told {
        Checks.notNull("answer", answer);
        Checks.notNull("basis", basis);
    }

    /** Returns an answer for which nothing that is known of jobs was looked up. */
    static Told of(JobAnswer answer) {
        return new Told(answer, new Basis.NotAsked());
    }
}
