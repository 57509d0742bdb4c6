package org.chervillift.core.tasks;

/**
 * Why no task of a step starts, in the order in which the obstacles are met on the way from the
 * plan to the worker's answer.
 */
public enum WaitReason {
    /** No order is sent at all, since the lease is not certain to be held. */
    LEASE_UNCERTAIN,
    /**
     * No task is started at all, since the copies of jobs, workers or operator's rows are too old.
     */
    STARTS_SUSPENDED,
    /** The start is decided, and held until progress is stored. */
    START_HELD,
    /** The order to start is sent, and neither answered nor confirmed by a report. */
    START_UNANSWERED,
    /** Workers that an earlier holder used have not reported what they run. */
    PREDECESSOR_WORKERS,
    /** The tasks wait after a failed or refused run. */
    DELAYED,
    /** A run of another task of the step has to end first, since all of them start at once. */
    GANG_INCOMPLETE,
    /** As many runs are open, or tasks of the job have begun, as the holder keeps in memory. */
    OPEN_RUNS_LIMIT,
    /** The customer has as much running as its limit allows. */
    CUSTOMER_LIMIT,
    /** The pool has no worker. */
    NO_WORKER,
    /** The workers have not reported to this holder. */
    WORKERS_NOT_REPORTED,
    /** The workers did not answer the last call. */
    WORKERS_UNREACHABLE,
    /** The workers' VMs are ordered to move or to undergo maintenance, or the workers drain. */
    WORKERS_LEAVING,
    /** The workers get no tasks for a time, after failures or a refused start. */
    WORKERS_BACKING_OFF,
    /** The operator has the data centres of the workers evacuated. */
    DATA_CENTRE_EVACUATED,
    /** The workers' leases are too short for a start. */
    WORKER_LEASES_SHORT,
    /** The workers lack the label that the step requires. */
    LABEL_MISSING,
    /** The advice service has given no valid ticket. */
    NO_ADVICE,
    /** As many tasks of the step run on each worker as the step allows. */
    MAX_PER_WORKER,
    /** Begun runs leave too little room on the workers. */
    NO_ROOM,
    /** There would be room but for starts that are held or not answered. */
    ROOM_HELD_BY_STARTS,
    /** After crashes: a worker is kept free for another task, or this task waits for its own. */
    ISOLATION,
    /** The worker with room is kept free for a step of higher rank. */
    WORKER_KEPT_FREE,
    /** Other workers have room; the step waits for a place in its rack, since that pays. */
    WAITS_FOR_RACK,
    /** Nothing stops the start but that no plan has been made. */
    NOT_PLANNED;

    /** Returns the reason that an obstacle of the workers gives. */
    static WaitReason of(WorkerObstacle obstacle) {
        return switch (obstacle) {
            case NONE -> NOT_PLANNED;
            case UNLISTED -> NO_WORKER;
            case NOT_REPORTED -> WORKERS_NOT_REPORTED;
            case UNREACHABLE -> WORKERS_UNREACHABLE;
            case CORDONED, DRAINING -> WORKERS_LEAVING;
            case BACKING_OFF -> WORKERS_BACKING_OFF;
            case EVACUATED -> DATA_CENTRE_EVACUATED;
            case SHORT_LEASE -> WORKER_LEASES_SHORT;
            case LABEL_MISSING -> LABEL_MISSING;
            case NO_ADVICE -> NO_ADVICE;
            case MAX_PER_WORKER -> MAX_PER_WORKER;
        };
    }
}
