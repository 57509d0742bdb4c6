package org.chervillift.daemon.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 digests, and their comparison in constant time. */
public final class Digests {

    private Digests() {}

    /** Returns the SHA-256 of a text, as lower-case hexadecimal digits. */
    public static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            byte[] hash = digest.digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Compares two digests in a time that does not depend on where they differ. */
    public static boolean equal(String one, String other) {
        return MessageDigest.isEqual(
                one.getBytes(StandardCharsets.UTF_8), other.getBytes(StandardCharsets.UTF_8));
    }
}
