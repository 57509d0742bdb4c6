package org.chervillift.core.keys;

import java.util.Base64;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.KeyGrant;

/**
 * A key that was just made.
 *
 * @param key the key itself, which is shown once and kept nowhere
 * @param grant what the ring keeps of it
 */
public record NewKey(String key, KeyGrant grant) {

    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;

    public NewKey {
        Checks.notBlank("key", key);
        Checks.notNull("grant", grant);
    }

    /** Makes a key for a team; the generator has to be a cryptographically strong one. */
    public static NewKey make(String team, RandomGenerator random) {
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(secret);
        String idText = HexFormat.of().formatHex(id);
        String secretText = Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
        String key = idText + KeyTable.SEPARATOR + secretText;
        return new NewKey(key, new KeyGrant(idText, team, Sha256.hex(key)));
    }

    /** Returns the public part only. */
    @Override
    public String toString() {
        return "NewKey[" + grant.id() + "]";
    }
}
