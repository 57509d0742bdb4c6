package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * Why a job has failed.
 *
 * @param cause what happened to its task too often
 * @param task the task
 * @param runs the number of the task's runs that it happened to
 */
public record JobFailure(Cause cause, String task, int runs) {

    /** What happened to a task too often. */
    public enum Cause {
        /** Its runs failed. */
        RUN_FAILED,
        /** The workers crashed that ran it. */
        WORKER_CRASHED
    }

    public JobFailure {
        Checks.notNull("cause", cause);
        Checks.notBlank("task", task);
        Checks.inRange("runs", runs, 1, Integer.MAX_VALUE);
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
        };
    }
}
