package org.chervillift.core.keys;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyRing;

/**
 * Authenticates requests by their keys with the ring that this process holds.
 *
 * <p>The version of the ring never decreases. Not thread-safe: used by one thread.
 */
public final class KeyAuthenticator {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final KeyFreshness freshness;
    private KeyTable table = new KeyTable(KeyRing.EMPTY);

    /** Creates an authenticator with an empty ring. */
    public KeyAuthenticator(KeyFreshness freshness) {
        this.freshness = Checks.notNull("freshness", freshness);
    }

    /** Returns the ring that this process holds. */
    public KeyRing ring() {
        return table.ring();
    }

    /** Replaces the held ring if the given one is newer, and returns whether it did so. */
    public boolean adoptIfNewer(KeyRing ring) {
        if (ring.version() <= table.ring().version()) {
            return false;
        }
        table = new KeyTable(ring);
        freshness.onRingAdopted(ring.version());
        return true;
    }

    /** Authenticates a request by its key. */
    public KeyDecision authenticate(Optional<String> key, boolean openQueue, Instant now) {
        if (key.isEmpty()) {
            return openQueue ? new KeyDecision.Anonymous() : new KeyDecision.Refused();
        }
        if (!freshness.acceptsKeyedRequests(now)) {
            return openQueue ? new KeyDecision.Anonymous() : new KeyDecision.RingStale(RETRY_AFTER);
        }
        return table.findTeam(key.get())
                .<KeyDecision>map(KeyDecision.Authenticated::new)
                .orElseGet(KeyDecision.Refused::new);
    }
}
