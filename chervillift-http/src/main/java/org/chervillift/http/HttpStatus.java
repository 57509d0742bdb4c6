package org.chervillift.http;

/** The HTTP status codes that programs here give and read. */
public final class HttpStatus {

    /** The request was served. */
    public static final int OK = 200;

    /** The request is malformed. */
    public static final int BAD_REQUEST = 400;

    /** The credential is missing or not in force. */
    public static final int UNAUTHORIZED = 401;

    /** The credential does not allow this. */
    public static final int FORBIDDEN = 403;

    /** There is no such thing. */
    public static final int NOT_FOUND = 404;

    /** The path has no such method. */
    public static final int METHOD_NOT_ALLOWED = 405;

    /** The present state does not allow this. */
    public static final int CONFLICT = 409;

    /** It is not there any more. */
    public static final int GONE = 410;

    /** A condition of the request does not hold. */
    public static final int PRECONDITION_FAILED = 412;

    /** Another server is meant. */
    public static final int MISDIRECTED = 421;

    /** Too many requests came. */
    public static final int TOO_MANY = 429;

    /** Nothing was done, for now. */
    public static final int UNAVAILABLE = 503;

    /** No answer came in time from where the request went. */
    public static final int GATEWAY_TIMEOUT = 504;

    private HttpStatus() {}
}
