package org.chervillift.core.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;

/** The effect of granting or withdrawing a key on a key ring. */
public sealed interface KeyRingChange {

    /**
     * The changed ring has to be written.
     *
     * @param next the changed ring with its next version
     */
    record Write(KeyRing next) implements KeyRingChange {
        public Write {
            Checks.notNull("next", next);
        }
    }

    /** The ring already has the requested state. */
    record Unchanged() implements KeyRingChange {}

    /** Another key has the same identifier. */
    record IdentifierTaken() implements KeyRingChange {}

    /** Returns the effect of granting a key. */
    static KeyRingChange grant(KeyRing ring, KeyGrant grant) {
        Optional<KeyGrant> existing = find(ring, grant.id());
        if (existing.isPresent()) {
            return existing.get().equals(grant) ? new Unchanged() : new IdentifierTaken();
        }
        List<KeyGrant> grants = new ArrayList<>(ring.grants());
        grants.add(grant);
        return new Write(new KeyRing(ring.version() + 1, grants));
    }

    /** Returns the effect of withdrawing a key. */
    static KeyRingChange withdraw(KeyRing ring, String id) {
        if (find(ring, id).isEmpty()) {
            return new Unchanged();
        }
        List<KeyGrant> grants = new ArrayList<>(ring.grants());
        grants.removeIf(g -> g.id().equals(id));
        return new Write(new KeyRing(ring.version() + 1, grants));
    }

    private static Optional<KeyGrant> find(KeyRing ring, String id) {
        return ring.grants().stream().filter(g -> g.id().equals(id)).findFirst();
    }
}
