package org.chervillift.core.tasks;

/** Why a worker may not run a task of a step, whatever its free capacity. */
enum WorkerObstacle {
    /** The worker may run tasks of the step. */
    NONE,
    /** The registry does not list the worker any more. */
    UNLISTED,
    /** The worker has not reported its runs to this holder. */
    NOT_REPORTED,
    /** The last call to the worker was not answered. */
    UNREACHABLE,
    /** The worker's VM is ordered to move or to undergo maintenance. */
    CORDONED,
    /** The worker has given notice of its end. */
    DRAINING,
    /** The worker gets no tasks for a time, since runs failed there or it refused one. */
    BACKING_OFF,
    /** The operator has the worker's data centre evacuated. */
    EVACUATED,
    /** The worker's lease is too short for a start. */
    SHORT_LEASE,
    /** The worker lacks the label that the step requires. */
    LABEL_MISSING,
    /** The advice service has given no ticket that is valid for the worker. */
    NO_ADVICE,
    /** As many tasks of the step run on the worker as the step allows. */
    MAX_PER_WORKER
}
