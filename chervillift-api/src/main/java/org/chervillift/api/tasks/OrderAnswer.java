package org.chervillift.api.tasks;

/** What a worker answered to an order. */
public enum OrderAnswer {
    /** The order is in force. */
    DONE,
    /** A newer holder gives the orders. */
    FENCED,
    /** A run of the same number or a higher one has been there before. */
    RUN_TOO_OLD,
    /** The order's lease time had passed. */
    EXPIRED,
    /** The worker has no room. */
    NO_ROOM,
    /** The ticket does not allow the step here. */
    TICKET_REFUSED,
    /** The worker says that it did nothing, as it is overloaded or not healthy. */
    NOTHING_DONE,
    /** Another lifetime of the worker answered. */
    OTHER_LIFETIME,
    /** The worker does not accept the order as written. */
    MALFORMED,
    /** No answer came; the order may be in force now or later. */
    UNKNOWN
}
