package org.chervillift.core.membership;

/** Whether a member is believed to be running. */
public enum MemberState {
    /** It was heard recently. */
    ALIVE,
    /** It was not heard for a while; whether it is running is unknown. */
    SUSPECTED,
    /** It is shutting down, or the platform has told it to leave. */
    LEAVING,
    /** It is not heard, and a later list or a later incarnation on its VM shows that it ended. */
    GONE
}
