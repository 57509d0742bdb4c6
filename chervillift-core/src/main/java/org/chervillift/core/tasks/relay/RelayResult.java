package org.chervillift.core.tasks.relay;

/** How the try to relay a request to a peer ended. */
public enum RelayResult {
    /** The peer handled the request. */
    ANSWERED,
    /** The peer reported that it cannot serve the request either. */
    NOT_SERVED,
    /** The peer already handles as many relayed requests as it may. */
    BUSY,
    /** The peer did not receive the request. */
    NOT_REACHED,
    /** The peer may have received the request, but no answer came in time. */
    NO_ANSWER
}
