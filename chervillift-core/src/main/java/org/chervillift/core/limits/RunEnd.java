package org.chervillift.core.limits;

/** What is known of a request's run when its permit comes back. */
public enum RunEnd {
    /** The request does not run any more, or never ran. */
    OVER,
    /** The request may still run at the upstream. */
    UNKNOWN
}
