package org.chervillift.core.membership;

/** How this process hears of a member. */
public enum Route {
    /** It does not. */
    NONE,
    /** Another process of its own data centre tells of it. */
    TOLD_INSIDE,
    /** A process of another data centre tells of it. */
    TOLD_ACROSS,
    /** By a link to it. */
    LINKED
}
