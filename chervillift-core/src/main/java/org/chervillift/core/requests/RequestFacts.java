package org.chervillift.core.requests;

import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.claims.ClaimKey;

/**
 * The properties of a request that decide how it is processed.
 *
 * @param pool the pool whose upstreams serve its queue
 * @param idempotent whether the request may run more than once
 * @param claimKey the key of its claim, if it needs one
 * @param digest the SHA-256 of the content sent by the caller, as hexadecimal digits
 * @param relayed whether another entry VM relayed the request to this one, which must not relay it
 *     again
 * @param deadline when the caller stops waiting
 */
public record RequestFacts(
        String pool,
        boolean idempotent,
        Optional<ClaimKey> claimKey,
        String digest,
        boolean relayed,
        Instant deadline) {
    public RequestFacts {
        Checks.notBlank("pool", pool);
        Checks.notNull("claimKey", claimKey);
        Checks.notNull("digest", digest);
        Checks.notNull("deadline", deadline);
        Checks.that(
                claimKey.isEmpty() || !idempotent,
                "an idempotent request needs no claim on its key");
    }
}
