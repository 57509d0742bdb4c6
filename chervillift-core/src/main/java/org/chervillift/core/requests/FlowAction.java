package org.chervillift.core.requests;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.claims.Outcome;
import org.chervillift.core.routing.RoutingDecision;

/** What the owner of a {@link RequestFlow} carries out. */
public sealed interface FlowAction {

    /**
     * Ask for the claim.
     *
     * @param key the name of the claim
     */
    record AskClaim(ClaimKey key) implements FlowAction {
        public AskClaim {
            Checks.notNull("key", key);
        }
    }

    /**
     * Choose a target.
     *
     * @param tried upstreams that failed this request
     */
    record Choose(Set<String> tried) implements FlowAction {
        public Choose {
            tried = Set.copyOf(tried);
        }
    }

    /**
     * Send the request once.
     *
     * @param target an upstream or another entry VM
     * @param freshConnection whether no connection may be used that was used before
     */
    record Send(RoutingDecision target, boolean freshConnection) implements FlowAction {
        public Send {
            Checks.notNull("target", target);
        }
    }

    /**
     * Come back after a delay.
     *
     * @param delay the delay
     */
    record Delay(Duration delay) implements FlowAction {
        public Delay {
            Checks.notNull("delay", delay);
        }
    }

    /**
     * Record the end of the claimed request.
     *
     * @param claim the claim
     * @param ending how it ended
     */
    record EndClaim(Claim claim, Ending ending) implements FlowAction {
        public EndClaim {
            Checks.notNull("claim", claim);
            Checks.notNull("ending", ending);
        }
    }

    /** Pass the whole answer of the last attempt on. */
    record PassOn() implements FlowAction {}

    /**
     * Answer with what the same request was answered before.
     *
     * @param answer the answer that was kept
     */
    record Replay(Outcome.Answered answer) implements FlowAction {
        public Replay {
            Checks.notNull("answer", answer);
        }
    }

    /** Answer that the same request ran before, and that its answer was not kept. */
    record AnswerNotKept() implements FlowAction {}

    /**
     * Answer with a verdict other than completed.
     *
     * @param verdict the verdict
     * @param retryAfter when it is worth asking again, if that is known
     */
    record Fail(Verdict verdict, Optional<Duration> retryAfter) implements FlowAction {
        public Fail {
            Checks.notNull("verdict", verdict);
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** How a claimed request ended. */
    sealed interface Ending {}

    /** It ran, and its whole answer is here. */
    record Completed() implements Ending {}

    /** It has not run and will not run. */
    record NeverRan() implements Ending {}

    /**
     * Nobody can know.
     *
     * @param code why
     */
    record Unknown(ErrorCode code) implements Ending {
        public Unknown {
            Checks.notNull("code", code);
        }
    }
}
