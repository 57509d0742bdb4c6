package org.chervillift.wire.internal;

/** The other side of a channel did not prove its membership. */
final class StrangerException extends Exception {

    private static final long serialVersionUID = 1L;

    StrangerException(String detail) {
        super(detail, null, false, false);
    }
}
