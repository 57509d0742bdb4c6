package org.chervillift.core.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;

/**
 * A lookup table for the keys of one ring.
 *
 * <p>A key starts with its public identifier. The table looks the grant up by that identifier and
 * compares the hash of the whole key in constant time, so the cost of a check does not depend on
 * the number of keys.
 */
public final class KeyTable {

    /** Separates the public identifier from the secret part of a key. */
    static final char SEPARATOR = '.';

    /** The maximum length of a key, in characters. */
    public static final int MAX_KEY_LENGTH = 128;

    // Used for unknown identifiers, so that they take as long to check as a wrong secret.
    private static final KeyGrant NO_GRANT = new KeyGrant("-", "-", "0".repeat(64));

    private final KeyRing ring;
    private final Map<String, KeyGrant> grantsById = new HashMap<>();

    /** Creates the table of a ring. */
    public KeyTable(KeyRing ring) {
        this.ring = ring;
        ring.grants().forEach(g -> grantsById.put(g.id(), g));
    }

    /** Returns the ring. */
    public KeyRing ring() {
        return ring;
    }

    /** Returns the team of a key, or empty if the key is not valid. */
    public Optional<String> findTeam(String key) {
        if (key.length() > MAX_KEY_LENGTH) {
            return Optional.empty();
        }
        int separatorIndex = key.indexOf(SEPARATOR);
        String id = separatorIndex < 0 ? "" : key.substring(0, separatorIndex);
        KeyGrant grant = grantsById.getOrDefault(id, NO_GRANT);
        boolean matches = Sha256.matches(key, grant.sha256());
        return matches && grant != NO_GRANT ? Optional.of(grant.team()) : Optional.empty();
    }
}
