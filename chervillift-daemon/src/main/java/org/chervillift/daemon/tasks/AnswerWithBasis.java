package org.chervillift.daemon.tasks;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobAnswer;

/**
 * An answer to a caller, and the data from which it was given.
 *
 * @param answer the answer
 * @param basis the data from which it was given
 */
record AnswerWithBasis(JobAnswer answer, AnswerBasis basis) {
    AnswerWithBasis {
        Checks.notNull("answer", answer);
        Checks.notNull("basis", basis);
    }

    /** Returns an answer that was given without looking up job data. */
    static AnswerWithBasis of(JobAnswer answer) {
        return new AnswerWithBasis(answer, new AnswerBasis.NotAsked());
    }
}
