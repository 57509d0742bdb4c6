package org.chervillift.core.keys;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;

/**
 * The keys of one ring, ready to be checked.
 *
 * <p>A key starts with its public identifier. The table finds the grant by it and then compares the
 * hash of the whole key in constant time, so one check costs the same for any number of keys.
 */
public final class KeyTable {

    /** Stands between the public identifier and the secret part of a key. */
    static final char SEPARATOR = '.';

    /** The most characters of a key. */
    public static final int MOST_KEY_LENGTH = 128;

    // Stands in for a missing grant, so that an unknown identifier costs as much as a wrong secret.
    private static final KeyGrant NO_GRANT = new KeyGrant("-", "-", "0".repeat(64));

    private final KeyRing ring;
    private final Map<String, KeyGrant> grants = new HashMap<>();

    /** Creates the table of a ring. */
    public KeyTable(KeyRing ring) {
        this.ring = ring;
        ring.grants().forEach(g -> grants.put(g.id(), g));
    }

    /** Returns the ring. */
    public KeyRing ring() {
        return ring;
    }

    /** Returns the team that a key stands for, if the key is in force. */
    public Optional<String> team(String key) {
        if (key.length() > MOST_KEY_LENGTH) {
            return Optional.empty();
        }
        int end = key.indexOf(SEPARATOR);
        String id = end < 0 ? "" : key.substring(0, end);
        KeyGrant grant = grants.getOrDefault(id, NO_GRANT);
        boolean matches = Sha256.matches(key, grant.sha256());
        return matches && grant != NO_GRANT ? Optional.of(grant.team()) : Optional.empty();
    }
}
