package org.chervillift.bench.limits;

import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/** An invariant was broken in a run; carries the case and the seed. */
public final class InvariantBrokenException extends ChervilliftException {

    private static final long serialVersionUID = 1L;

    /** Creates an exception with what was seen. */
    public InvariantBrokenException(String detail) {
        super(ErrorCode.INTERNAL, detail);
    }
}
