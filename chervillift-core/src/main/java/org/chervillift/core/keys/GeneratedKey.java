package org.chervillift.core.keys;

import java.util.Base64;
import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.KeyGrant;

/**
 * A newly generated key.
 *
 * @param key the key itself, which is shown once and never stored
 * @param grant the grant that the ring stores for it
 */
public record GeneratedKey(String key, KeyGrant grant) {

    private static final int ID_BYTES = 6;
    private static final int SECRET_BYTES = 32;

    public GeneratedKey {
        Checks.notBlank("key", key);
        Checks.notNull("grant", grant);
    }

    /** Generates a key for a team; the generator must be cryptographically strong. */
    public static GeneratedKey generate(String team, RandomGenerator random) {
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(secret);
        String idText = HexFormat.of().formatHex(id);
        String secretText = Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
        String key = idText + KeyTable.SEPARATOR + secretText;
        return new GeneratedKey(key, new KeyGrant(idText, team, Sha256.hex(key)));
    }

    /** Returns a text with only the public identifier of the key. */
    @Override
    public String toString() {
        return "GeneratedKey[" + grant.id() + "]";
    }
}
