package org.chervillift.core.requests;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAnswer;
import org.chervillift.core.routing.Choice;

/** An event in the processing of a request. */
public sealed interface FlowEvent {

    /**
     * The claim request was answered.
     *
     * @param answer the answer
     * @param claim the claim, present only if it was granted
     */
    record ClaimAnswered(ClaimAnswer answer, Optional<Claim> claim) implements FlowEvent {
        public ClaimAnswered {
            Checks.notNull("answer", answer);
            Checks.notNull("claim", claim);
        }
    }

    /**
     * A target was chosen, or none is available.
     *
     * @param choice the choice
     */
    record TargetChosen(Choice choice) implements FlowEvent {
        public TargetChosen {
            Checks.notNull("choice", choice);
        }
    }

    /**
     * An attempt ended.
     *
     * @param result the result of the attempt
     */
    record AttemptEnded(AttemptResult result) implements FlowEvent {
        public AttemptEnded {
            Checks.notNull("result", result);
        }
    }

    /** The delay before the next attempt is over. */
    record DelayElapsed() implements FlowEvent {}
}
