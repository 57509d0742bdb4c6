package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * Why a job has failed.
 *
 * @param cause what happened
 * @param task the task that it happened to; the job, if it is no single task
 * @param runs the number of the task's runs that it happened to; for a gang that is too large, the
 *     most runs that can be started together
 */
public record JobFailure(Cause cause, String task, int runs) {

    /** What happened to a task. */
    public enum Cause {
        /** Its runs failed. */
        RUN_FAILED,
        /** The workers crashed that ran it. */
        WORKER_CRASHED,
        /** It belongs to a gang of more tasks than can be started together. */
        GANG_TOO_LARGE,
        /**
         * Its progress did not fit in a row of the store; only earlier releases ended such jobs.
         */
        PROGRESS_TOO_LARGE
    }

    public JobFailure {
        Checks.notNull("cause", cause);
        Checks.notBlank("task", task);
        Checks.notNegative("runs", runs);
    }

    /** Returns a sentence for the caller. */
    public String sentence() {
        return switch (cause) {
            case RUN_FAILED ->
                    "Task "
                            + task
                            + " failed "
                            + runs
                            + " times, which is as often as its queue allows.";
            case WORKER_CRASHED ->
                    "Task "
                            + task
                            + " was given up: "
                            + runs
                            + " workers crashed while they ran it.";
            case GANG_TOO_LARGE ->
                    "Task "
                            + task
                            + " cannot be started: of the tasks that start only all together, at"
                            + " most "
                            + runs
                            + " are allowed.";
            case PROGRESS_TOO_LARGE ->
                    "So many tasks of the job have failed that its progress is too large to be"
                            + " stored.";
        };
    }
}
