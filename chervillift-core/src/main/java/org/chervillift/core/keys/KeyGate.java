package org.chervillift.core.keys;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyRing;

/**
 * Decides whose work a request is, with the ring that this process holds.
 *
 * <p>The ring never goes back to a lower version. The class is for one thread.
 */
public final class KeyGate {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

    private final KeyFreshness freshness;
    private KeyTable table = new KeyTable(KeyRing.EMPTY);

    /** Creates a gate with an empty ring. */
    public KeyGate(KeyFreshness freshness) {
        this.freshness = Checks.notNull("freshness", freshness);
    }

    /** Returns the ring that this process holds. */
    public KeyRing ring() {
        return table.ring();
    }

    /** Takes a ring, unless it is not newer; returns whether it was taken. */
    public boolean adopt(KeyRing ring) {
        if (ring.version() <= table.ring().version()) {
            return false;
        }
        table = new KeyTable(ring);
        freshness.ringAdopted(ring.version());
        return true;
    }

    /** Decides on the key of a request. */
    public KeyDecision decide(Optional<String> key, boolean openQueue, Instant now) {
        if (key.isEmpty()) {
            return openQueue ? new KeyDecision.OfAnyone() : new KeyDecision.Refused();
        }
        if (!freshness.takesKeyedWork(now)) {
            return openQueue ? new KeyDecision.OfAnyone() : new KeyDecision.NotFresh(RETRY_AFTER);
        }
        return table.team(key.get())
                .<KeyDecision>map(KeyDecision.OfTeam::new)
                .orElseGet(KeyDecision.Refused::new);
    }
}
