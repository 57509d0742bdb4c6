package org.chervillift.api.platform;

import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/**
 * The platform did not answer.
 *
 * <p>After a failed {@link Platform#commit} the writes may be in effect: read back, or send the
 * same transaction with the same token again.
 */
public final class PlatformException extends ChervilliftException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with what was found. */
    public PlatformException(String detail, Throwable cause) {
        super(ErrorCode.PLATFORM_UNAVAILABLE, detail, cause);
    }
}
