package org.chervillift.api;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Hashes texts with SHA-256 and compares hashes in constant time. */
public final class Sha256 {

    private Sha256() {}

    /** Returns the hash of a text as 64 lower-case hexadecimal digits. */
    public static String hex(String text) {
        return HexFormat.of().formatHex(hash(text));
    }

    /** Returns whether a text has a hash; takes the same time whatever they hold. */
    public static boolean matches(String text, String hexHash) {
        byte[] actual = hex(text).getBytes(StandardCharsets.US_ASCII);
        byte[] expected = hexHash.getBytes(StandardCharsets.US_ASCII);
        return MessageDigest.isEqual(actual, expected);
    }

    private static byte[] hash(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return digest.digest(text.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new ChervilliftException(ErrorCode.INTERNAL, "This JDK has no SHA-256.", e);
        }
    }
}
