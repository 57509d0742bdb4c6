package org.chervillift.api.tasks;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * How far a job is.
 *
 * @param state the state
 * @param failure why the job has failed, if that is known
 */
public record JobStatus(JobState state, Optional<JobFailure> failure) {
    public JobStatus {
        Checks.notNull("state", state);
        Checks.notNull("failure", failure);
    }

    /** Returns a status without a failure. */
    public static JobStatus of(JobState state) {
        return new JobStatus(state, Optional.empty());
    }
}
