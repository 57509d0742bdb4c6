package org.chervillift.core.claims;

import java.time.Instant;
import org.chervillift.api.Checks;

/**
 * What is kept of a request before it is sent.
 *
 * @param key the name of the claim
 * @param digest the SHA-256 of what the caller sent, as hexadecimal digits
 * @param entryVm the entry VM that holds the claim
 * @param at when it was claimed
 */
public record Claim(ClaimKey key, String digest, String entryVm, Instant at) {
    public Claim {
        Checks.notNull("key", key);
        Checks.notBlank("digest", digest);
        Checks.notBlank("entryVm", entryVm);
        Checks.notNull("at", at);
    }
}
