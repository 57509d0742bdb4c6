package org.chervillift.core.tasks;

import org.chervillift.api.Checks;

/**
 * A decision of the scheduler, or a change in its view of runs and workers, for the log.
 *
 * @param kind what happened
 * @param job the job's identifier, or empty
 * @param task the task and the number of its run, or empty
 * @param worker the worker's identifier, or empty
 * @param detail the inputs of the decision
 */
public record SchedulerEvent(Kind kind, String job, String task, String worker, String detail) {

    /** What happened. */
    public enum Kind {
        /** An order to start a run is sent. */
        START,
        /** A worker is kept free for a task under which workers have crashed. */
        RESERVED,
        /** A worker refused an order to start, or did not answer it. */
        START_NOT_TAKEN,
        /** An order to start was not sent, since its worker can no longer take the task. */
        START_DROPPED,
        /** A run has ended. */
        END,
        /** A worker reports a run unknown to the scheduler, such as one of an earlier holder. */
        ADOPTED,
        /** An order to stop a run is sent. */
        STOP,
        /** An order to change the speed of a run is sent. */
        PACE,
        /** A worker reports a number that no holder or worker can have given; it is ignored. */
        ODD_ENTRY,
        /** A worker no longer lists a run, without having reported its end. */
        VANISHED,
        /** A job has reached a final state. */
        FINAL,
        /** A run makes no progress. */
        STANDSTILL,
        /** A worker has restarted, or its lifetime has ended. */
        LIFETIME,
        /** A run was lost with its worker. */
        LOST,
        /** A worker's lease has expired. */
        LEASE_OVER,
        /** A run is stopped, so that its task moves out of an evacuated data centre. */
        EVACUATED,
        /** Steps of a customer beyond its share of a pool are postponed. */
        BEYOND_SHARE,
        /** No step of a customer has been postponed in a pool for some seconds. */
        WITHIN_SHARE,
        /** A run is to be stopped so that an urgent task starts in time. */
        PREEMPTED,
        /** Tasks of a step have got the place in a rack that the step waited for. */
        RACK_WAIT_PAID,
        /** A step waits no longer for a place in a rack, and has got none. */
        RACK_WAIT_IN_VAIN,
        /** A copy of a run that takes very long is started. */
        COPY_STARTED,
        /** A copy is done before the run that it is a copy of. */
        COPY_WON,
        /** A run is done before the copy of it. */
        COPY_LOST
    }

    public SchedulerEvent {
        Checks.notNull("kind", kind);
    }

    static SchedulerEvent of(Kind kind, Run run, String detail) {
        TaskEntry task = run.task();
        return new SchedulerEvent(
                kind,
                task.step().job().id(),
                task.id() + "#" + run.number(),
                run.worker().id(),
                detail);
    }
}
