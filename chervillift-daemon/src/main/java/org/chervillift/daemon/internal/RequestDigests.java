package org.chervillift.daemon.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** Tells whether two requests with one identifier are the same request. */
final class RequestDigests {

    private static final char END = '\n';

    private RequestDigests() {}

    /** Returns the SHA-256 of method, queue, path and body, as hexadecimal digits. */
    static String of(CallerRequest request, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = request.method().name() + END + request.queue() + END + request.path();
            digest.update((head + END).getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new ChervilliftException(ErrorCode.INTERNAL, "There is no SHA-256.", e);
        }
    }
}
