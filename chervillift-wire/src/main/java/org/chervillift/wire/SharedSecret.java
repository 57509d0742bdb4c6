package org.chervillift.wire;

import java.nio.charset.StandardCharsets;
import javax.crypto.SecretKey;
import javax.crypto.spec.SecretKeySpec;
import org.chervillift.api.Checks;

/** The secret that all daemons of a fleet share; never printed. */
public final class SharedSecret {

    /** The HMAC function of the protocol. */
    public static final String ALGORITHM = "HmacSHA256";

    private static final int LEAST_CHARACTERS = 32;

    private final SecretKey key;

    private SharedSecret(SecretKey key) {
        this.key = key;
    }

    /**
     * Returns the secret of that text.
     *
     * @throws IllegalArgumentException if the text is shorter than 32 characters
     */
    public static SharedSecret of(String text) {
        Checks.that(text.length() >= LEAST_CHARACTERS, "the shared secret must have 32 characters");
        return new SharedSecret(
                new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    /** Returns the key for an HMAC. */
    public SecretKey key() {
        return key;
    }

    @Override
    public String toString() {
        return "SharedSecret[hidden]";
    }
}
