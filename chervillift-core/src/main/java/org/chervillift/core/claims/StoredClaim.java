package org.chervillift.core.claims;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * A claim as the table service has it.
 *
 * @param claim the claim
 * @param outcome how the request ended, if that was recorded
 */
public record StoredClaim(Claim claim, Optional<Outcome> outcome) {
    public StoredClaim {
        Checks.notNull("claim", claim);
        Checks.notNull("outcome", outcome);
    }
}
