package org.chervillift.core.requests;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.Verdict;
import org.chervillift.core.claims.Claim;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.claims.ClaimOutcome;
import org.chervillift.core.routing.Choice;

/** An action that the owner of a {@link RequestFlow} has to perform. */
public sealed interface FlowAction {

    /**
     * Requests the claim.
     *
     * @param key the key of the claim
     */
    record RequestClaim(ClaimKey key) implements FlowAction {
        public RequestClaim {
            Checks.notNull("key", key);
        }
    }

    /**
     * Chooses a target.
     *
     * @param triedTargets the ids of the targets that this request was already sent to
     */
    record ChooseTarget(Set<String> triedTargets) implements FlowAction {
        public ChooseTarget {
            triedTargets = Set.copyOf(triedTargets);
        }
    }

    /**
     * Sends the request once.
     *
     * @param target an upstream or another entry VM
     * @param freshConnection whether the request must be sent on a connection that was not used
     *     before
     */
    record Send(Choice target, boolean freshConnection) implements FlowAction {
        public Send {
            Checks.notNull("target", target);
        }
    }

    /**
     * Waits before the next attempt.
     *
     * @param delay the delay
     */
    record Delay(Duration delay) implements FlowAction {
        public Delay {
            Checks.notNull("delay", delay);
        }
    }

    /**
     * Records the completion of the claimed request.
     *
     * @param claim the claim
     * @param ending how the request ended
     */
    record CompleteClaim(Claim claim, Ending ending) implements FlowAction {
        public CompleteClaim {
            Checks.notNull("claim", claim);
            Checks.notNull("ending", ending);
        }
    }

    /** Forwards the complete answer of the last attempt to the caller. */
    record ForwardAnswer() implements FlowAction {}

    /**
     * Answers with the stored answer of the same request.
     *
     * @param answer the stored answer
     */
    record Replay(ClaimOutcome.Answered answer) implements FlowAction {
        public Replay {
            Checks.notNull("answer", answer);
        }
    }

    /** Answers that the same request ran before and that its answer is not stored. */
    record AnswerNotStored() implements FlowAction {}

    /**
     * Answers with a verdict other than completed.
     *
     * @param verdict the verdict
     * @param retryAfter the delay before the caller should retry, if that is known
     */
    record Fail(Verdict verdict, Optional<Duration> retryAfter) implements FlowAction {
        public Fail {
            Checks.notNull("verdict", verdict);
            Checks.notNull("retryAfter", retryAfter);
        }
    }

    /** How a claimed request ended. */
    sealed interface Ending {}

    /** The request ran, and its complete answer was received. */
    record Completed() implements Ending {}

    /** The request has not run and will not run. */
    record NeverRan() implements Ending {}

    /**
     * Whether the request ran cannot be determined.
     *
     * @param code the reason
     */
    record Unknown(ErrorCode code) implements Ending {
        public Unknown {
            Checks.notNull("code", code);
        }
    }
}
