package org.chervillift.daemon.tasks;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.core.tasks.relay.RelayCause;

/**
 * An answer to a caller, and the data from which it was given.
 *
 * @param answer the answer
 * @param basis the data from which it was given
 * @param relayCause why another entry VM may be able to serve the request, if it may
 */
record AnswerWithBasis(JobAnswer answer, AnswerBasis basis, Optional<RelayCause> relayCause) {
    AnswerWithBasis {
        Checks.notNull("answer", answer);
        Checks.notNull("basis", basis);
        Checks.notNull("relayCause", relayCause);
    }

    /** Creates an answer that no other entry VM would improve. */
    AnswerWithBasis(JobAnswer answer, AnswerBasis basis) {
        this(answer, basis, Optional.empty());
    }

    /** Returns an answer to a request that another entry VM may be able to serve. */
    static AnswerWithBasis relayable(JobAnswer answer, RelayCause cause) {
        return new AnswerWithBasis(answer, new AnswerBasis.NotAsked(), Optional.of(cause));
    }

    /** Returns an answer that was given without looking up job data. */
    static AnswerWithBasis of(JobAnswer answer) {
        return new AnswerWithBasis(answer, new AnswerBasis.NotAsked());
    }
}
