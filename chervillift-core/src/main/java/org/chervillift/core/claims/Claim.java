package org.chervillift.core.claims;

import java.time.Instant;
import org.chervillift.api.Checks;

/**
 * A record stored before a request is sent, which reserves its request identifier.
 *
 * @param key the scope and request identifier that are claimed
 * @param digest the SHA-256 of the content sent by the caller, as hexadecimal digits
 * @param entryVm the entry VM that holds the claim
 * @param at when the claim was requested
 */
public record Claim(ClaimKey key, String digest, String entryVm, Instant at) {
    public Claim {
        Checks.notNull("key", key);
        Checks.notBlank("digest", digest);
        Checks.notBlank("entryVm", entryVm);
        Checks.notNull("at", at);
    }
}
