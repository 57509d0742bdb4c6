package org.chervillift.api.platform;

import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** The store did not answer a call well. */
public final class StoreException extends ChervilliftException {

    private static final long serialVersionUID = 1L;

    /** Whether the call may have taken effect. */
    public enum Effect {
        /** The store has done nothing and will do nothing. */
        NONE,
        /** The call may be in effect, or may take effect later. */
        UNKNOWN
    }

    private final Effect effect;

    /** Creates an exception with what was found. */
    public StoreException(Effect effect, String detail, Throwable cause) {
        super(
                effect == Effect.NONE ? ErrorCode.PLATFORM_UNAVAILABLE : ErrorCode.OUTCOME_UNKNOWN,
                detail,
                cause);
        this.effect = Checks.notNull("effect", effect);
    }

    /** Returns whether the call may have taken effect. */
    public Effect effect() {
        return effect;
    }
}
