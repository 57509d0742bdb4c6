package org.chervillift.core.tasks;

import org.chervillift.api.Checks;

/**
 * A decision, or a change of what is believed, for the log.
 *
 * @param kind what happened
 * @param job the job, or empty
 * @param task the task with its run, or empty
 * @param worker the worker, or empty
 * @param detail the inputs that decided
 */
public record SchedulerEvent(Kind kind, String job, String task, String worker, String detail) {

    /** What happened. */
    public enum Kind {
        /** A run is ordered to start. */
        START,
        /** A worker refused or did not answer an order to start. */
        START_NOT_TAKEN,
        /** A run has ended. */
        END,
        /** A run is taken over from an earlier holder. */
        ADOPTED,
        /** A run is ordered to stop. */
        STOP,
        /** A run is ordered to another speed. */
        PACE,
        /** A run is gone without a listed end. */
        VANISHED,
        /** A job has reached its last state. */
        FINAL,
        /** A run does no work. */
        STANDSTILL,
        /** A worker is known with a new lifetime. */
        LIFETIME,
        /** A worker's lease has run out. */
        LEASE_OVER
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
