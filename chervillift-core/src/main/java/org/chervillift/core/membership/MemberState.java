package org.chervillift.core.membership;

/** What is known of the life of a member. */
public enum MemberState {
    /** It was heard a short time ago. */
    ALIVE,
    /** It is not heard, and nothing says whether it lives. */
    SUSPECTED,
    /** It stops, or the platform has told it to leave. */
    LEAVING,
    /** It is not heard, and a later list or a later life on its VM says that it ended. */
    GONE
}
