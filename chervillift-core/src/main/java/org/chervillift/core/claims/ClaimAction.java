package org.chervillift.core.claims;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/** An action that the owner of a {@link ClaimCommitter} has to perform. */
public sealed interface ClaimAction {

    /**
     * Writes claims in one transaction, on the condition that none of their rows exists.
     *
     * <p>A group is always sent as the same transaction with the same idempotency token.
     *
     * @param groupNumber the number of the group
     * @param claims the claims, unique by key
     */
    record CommitClaims(long groupNumber, List<Claim> claims) implements ClaimAction {
        public CommitClaims {
            claims = List.copyOf(claims);
        }
    }

    /**
     * Writes the completions of claimed requests in one transaction, without conditions.
     *
     * <p>A group is always sent as the same transaction with the same idempotency token.
     *
     * @param groupNumber the number of the group
     * @param completions the completions
     */
    record CommitCompletions(long groupNumber, List<Completion> completions)
            implements ClaimAction {
        public CommitCompletions {
            completions = List.copyOf(completions);
        }
    }

    /**
     * Reads the stored claims for the keys of a group whose transaction had a conflict.
     *
     * @param groupNumber the number of the group
     * @param claims the claims whose keys to read
     */
    record ReadClaims(long groupNumber, List<Claim> claims) implements ClaimAction {
        public ReadClaims {
            claims = List.copyOf(claims);
        }
    }

    /**
     * Replies to a request that asked for a claim.
     *
     * @param correlationId the number passed to {@link ClaimCommitter#requestClaim}
     * @param answer the answer
     * @param claim the claim, present only if it was granted
     */
    record Reply(long correlationId, ClaimAnswer answer, Optional<Claim> claim)
            implements ClaimAction {
        public Reply {
            Checks.notNull("answer", answer);
            Checks.notNull("claim", claim);
        }
    }

    /**
     * The completion of a claimed request.
     *
     * @param claim the claim
     * @param outcome the outcome to store, or empty to release the claim
     */
    record Completion(Claim claim, Optional<ClaimOutcome> outcome) {
        public Completion {
            Checks.notNull("claim", claim);
            Checks.notNull("outcome", outcome);
        }
    }
}
