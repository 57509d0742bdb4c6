package org.chervillift.api.tasks;

/** How far a job is. */
public enum JobState {
    /** No task has started yet. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task has failed too often. */
    FAILED,
    /** The caller has withdrawn the job. */
    CANCELLED;

    /** Returns whether the state is the last one. */
    public boolean isFinal() {
        return this == COMPLETED || this == FAILED || this == CANCELLED;
    }
}
