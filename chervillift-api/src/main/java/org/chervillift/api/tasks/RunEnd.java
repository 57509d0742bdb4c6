package org.chervillift.api.tasks;

/** How a run of a task ended on its worker. */
public enum RunEnd {
    /** The task did its work. */
    DONE,
    /** The task or its worker failed. */
    FAILED,
    /** It was stopped on an order. */
    STOPPED,
    /** The worker's lease expired. */
    LEASE_EXPIRED,
    /** Another task of its gang ended. */
    GANG_BROKEN,
    /** The other tasks of its gang did not come in time. */
    GANG_INCOMPLETE,
    /** The worker gave a reason that this release does not know. */
    UNKNOWN
}
