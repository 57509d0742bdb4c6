package org.chervillift.core.limits;

/** What is known of a request's run when its permit comes back. */
public enum RunStatus {
    /** The request does not run any more, or never ran. */
    ENDED,
    /** The request may still run at the upstream. */
    POSSIBLY_RUNNING
}
