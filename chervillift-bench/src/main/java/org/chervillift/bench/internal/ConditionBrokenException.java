package org.chervillift.bench.internal;

import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** A measurement saw a condition of the requirements broken. */
public final class ConditionBrokenException extends ChervilliftException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with the case and its seed. */
    public ConditionBrokenException(String what, long seed) {
        super(ErrorCode.INTERNAL, what + " seed=" + seed);
    }
}
