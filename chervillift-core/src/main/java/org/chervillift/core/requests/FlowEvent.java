package org.chervillift.core.requests;

import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimAnswer;
import org.chervillift.core.routing.RoutingDecision;

/** What happens to a request. */
public sealed interface FlowEvent {

    /**
     * The claim was answered.
     *
     * @param answer the answer
     * @param claim the claim, where it was granted
     */
    record ClaimAnswered(ClaimAnswer answer, Optional<Claim> claim) implements FlowEvent {
        public ClaimAnswered {
            Checks.notNull("answer", answer);
            Checks.notNull("claim", claim);
        }
    }

    /**
     * A target was chosen, or there is none.
     *
     * @param choice the choice
     */
    record Chosen(RoutingDecision choice) implements FlowEvent {
        public Chosen {
            Checks.notNull("choice", choice);
        }
    }

    /**
     * An attempt ended.
     *
     * @param result what became of it
     */
    record AttemptEnded(AttemptResult result) implements FlowEvent {
        public AttemptEnded {
            Checks.notNull("result", result);
        }
    }

    /** The delay before the next attempt is over. */
    record DelayOver() implements FlowEvent {}
}
