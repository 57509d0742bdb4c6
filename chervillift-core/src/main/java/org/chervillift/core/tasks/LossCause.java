package org.chervillift.core.tasks;

/** Why a worker was lost together with its runs. */
enum LossCause {
    /** The worker's lifetime ended without notice. */
    CRASH,
    /** The worker was draining, or was being drained for an order for its VM. */
    PLANNED,
    /** The worker's lease expired; it may have been cut off, and may have crashed. */
    LEASE_EXPIRED
}
