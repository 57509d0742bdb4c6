package org.chervillift.core.keys;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;

/** What becomes of a ring when an operator grants or withdraws a key. */
public sealed interface KeyRingChange {

    /**
     * The ring is to be written.
     *
     * @param next the ring at its next version
     */
    record Write(KeyRing next) implements KeyRingChange {
        public Write {
            Checks.notNull("next", next);
        }
    }

    /** The ring is as wished already. */
    record AlreadyDone() implements KeyRingChange {}

    /** Another key has the same identifier. */
    record IdentifierTaken() implements KeyRingChange {}

    /** Decides on a grant. */
    static KeyRingChange grant(KeyRing ring, KeyGrant grant) {
        Optional<KeyGrant> held = find(ring, grant.id());
        if (held.isPresent()) {
            return held.get().equals(grant) ? new AlreadyDone() : new IdentifierTaken();
        }
        List<KeyGrant> grants = new ArrayList<>(ring.grants());
        grants.add(grant);
        return new Write(new KeyRing(ring.version() + 1, grants));
    }

    /** Decides on a withdrawal. */
    static KeyRingChange withdraw(KeyRing ring, String id) {
        if (find(ring, id).isEmpty()) {
            return new AlreadyDone();
        }
        List<KeyGrant> grants = new ArrayList<>(ring.grants());
        grants.removeIf(g -> g.id().equals(id));
        return new Write(new KeyRing(ring.version() + 1, grants));
    }

    private static Optional<KeyGrant> find(KeyRing ring, String id) {
        return ring.grants().stream().filter(g -> g.id().equals(id)).findFirst();
    }
}
