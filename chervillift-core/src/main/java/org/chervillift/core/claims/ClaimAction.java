package org.chervillift.core.claims;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/** What the owner of a {@link ClaimBook} carries out. */
public sealed interface ClaimAction {

    /**
     * Write claims in one transaction, each under the condition that its row does not exist.
     *
     * <p>The same group is always the same transaction with the same token.
     *
     * @param group the number of the group
     * @param claims the claims, unique by key
     */
    record CommitClaims(long group, List<Claim> claims) implements ClaimAction {
        public CommitClaims {
            claims = List.copyOf(claims);
        }
    }

    /**
     * Write ends of claimed requests in one transaction, without conditions.
     *
     * <p>The same group is always the same transaction with the same token.
     *
     * @param group the number of the group
     * @param ends the ends
     */
    record CommitEnds(long group, List<End> ends) implements ClaimAction {
        public CommitEnds {
            ends = List.copyOf(ends);
        }
    }

    /**
     * Read the claims of a group that met a conflict.
     *
     * @param group the number of the group
     * @param claims the claims whose keys to read
     */
    record ReadClaims(long group, List<Claim> claims) implements ClaimAction {
        public ReadClaims {
            claims = List.copyOf(claims);
        }
    }

    /**
     * Tell a request what it asked for.
     *
     * @param ticket the number that the request asked with
     * @param answer the answer
     * @param claim the claim, where it was granted
     */
    record Tell(long ticket, ClaimAnswer answer, Optional<Claim> claim) implements ClaimAction {
        public Tell {
            Checks.notNull("answer", answer);
            Checks.notNull("claim", claim);
        }
    }

    /**
     * The end of a claimed request.
     *
     * @param claim the claim
     * @param outcome the outcome to keep, or empty to give the claim back
     */
    record End(Claim claim, Optional<Outcome> outcome) {
        public End {
            Checks.notNull("claim", claim);
            Checks.notNull("outcome", outcome);
        }
    }
}
