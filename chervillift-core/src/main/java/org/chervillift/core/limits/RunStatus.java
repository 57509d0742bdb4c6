package org.chervillift.core.limits;

/** Whether a request may still run at an upstream when its permit is released. */
public enum RunStatus {
    /** The request has ended or never ran. */
    ENDED,
    /** The request may still run at the upstream. */
    POSSIBLY_RUNNING
}
