package org.chervillift.daemon.internal;

import java.util.Optional;
import org.chervillift.api.config.KeyGrant;
import org.chervillift.api.config.KeyRing;

/** Finds the team that a key stands for. */
public final class KeyAuthenticator {

    private KeyAuthenticator() {}

    /** Returns the team of a key that is in force; compares with every key, in constant time. */
    public static Optional<String> teamOf(String key, KeyRing ring) {
        String digest = Digests.sha256(key);
        String team = null;
        for (KeyGrant g : ring.grants()) {
            if (Digests.equal(g.sha256(), digest)) {
                team = g.team();
            }
        }
        return Optional.ofNullable(team);
    }
}
