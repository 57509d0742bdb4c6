package org.chervillift.core.requests;

import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.claims.ClaimKey;

/**
 * What the course of a request depends on.
 *
 * @param pool the pool whose upstreams serve its queue
 * @param idempotent whether it may run more than once
 * @param claimKey the name of its claim, if it needs one
 * @param digest the SHA-256 of what the caller sent, as hexadecimal digits
 * @param relayed whether another entry VM sent it here; it then goes no further
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
