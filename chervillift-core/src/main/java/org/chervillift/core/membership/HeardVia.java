package org.chervillift.core.membership;

/** How this process hears of a member. */
public enum HeardVia {
    /** It does not. */
    NONE,
    /** Another process of its own data centre tells of it. */
    SAME_DATA_CENTRE_PEER,
    /** A process of another data centre tells of it. */
    OTHER_DATA_CENTRE_PEER,
    /** By a link to it. */
    DIRECT_LINK
}
