package org.chervillift.daemon.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** Computes digests that tell whether two requests with one identifier have the same content. */
final class RequestDigests {

    private static final char SEPARATOR = '\n';

    private RequestDigests() {}

    /** Returns the SHA-256 of method, queue, path and body, as hexadecimal digits. */
    static String of(CallerRequest request, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head =
                    request.method().name()
                            + SEPARATOR
                            + request.queue()
                            + SEPARATOR
                            + request.pathAndQuery();
            digest.update((head + SEPARATOR).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new ChervilliftException(ErrorCode.INTERNAL, "This JDK has no SHA-256.", e);
        }
    }
}
