package org.chervillift.core.tasks;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;
import org.chervillift.core.tasks.JobProgress.IndexRange;

/**
 * The first row of the progress of a job that is stored in parts; read as {@link JobProgress}.
 *
 * <p>It lists no steps. An earlier release, which does not know of parts, therefore cannot read it,
 * and leaves the job alone in place of starting its tasks again.
 *
 * @param term the term of the holder that wrote the row
 * @param state the job's state
 * @param failure why the job has failed
 * @param doneOccurrences the occurrences all of whose steps are done
 * @param partsTerm the term in which the progress was first stored in parts
 */
public record JobProgressHead(
        long term,
        JobState state,
        Optional<JobFailure> failure,
        List<IndexRange> doneOccurrences,
        long partsTerm) {
    public JobProgressHead {
        Checks.notNull("state", state);
        Checks.notNull("failure", failure);
        doneOccurrences = List.copyOf(doneOccurrences);
    }
}
