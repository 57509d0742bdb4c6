package org.chervillift.wire.internal;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.wire.SharedSecret;

/** Tags the frames of one direction of a link, so that none can be forged, repeated or swapped. */
final class Seal {

    /** Length of a tag. */
    static final int TAG_BYTES = 16;

    private final Mac mac;
    private final byte[] counter = new byte[Long.BYTES];
    private long frames;

    Seal(Key key) {
        this.mac = mac(key);
    }

    static Mac mac(Key key) {
        try {
            Mac mac = Mac.getInstance(SharedSecret.ALGORITHM);
            mac.init(key);
            return mac;
        } catch (GeneralSecurityException e) {
            throw new ChervilliftException(ErrorCode.INTERNAL, "No HMAC is available.", e);
        }
    }

    /** Returns the tag of the next frame. */
    byte[] next(byte[] payload) {
        ByteBuffer.wrap(counter).putLong(frames++);
        mac.update(counter);
        return Arrays.copyOf(mac.doFinal(payload), TAG_BYTES);
    }

    /** Returns whether the tag is that of the next frame. */
    boolean accepts(byte[] tag, byte[] payload) {
        return MessageDigest.isEqual(tag, next(payload));
    }
}
