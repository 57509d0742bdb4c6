package org.chervillift.api;

/** The unchecked exception that carries an {@link ErrorCode}. */
public class ChervilliftException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /** Creates an exception with a code and what was found. */
    public ChervilliftException(ErrorCode code, String detail) {
        this(code, detail, null);
    }

    /** Creates an exception with a code, what was found and the cause. */
    public ChervilliftException(ErrorCode code, String detail, Throwable cause) {
        super(code.sentence() + " " + detail, cause);
        this.code = Checks.notNull("code", code);
    }

    /** Returns the code. */
    public ErrorCode code() {
        return code;
    }
}
