package org.chervillift.core.claims;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * A claim read from the table service.
 *
 * @param claim the claim
 * @param outcome the outcome of the request, if it is recorded
 */
public record StoredClaim(Claim claim, Optional<ClaimOutcome> outcome) {
    public StoredClaim {
        Checks.notNull("claim", claim);
        Checks.notNull("outcome", outcome);
    }
}
