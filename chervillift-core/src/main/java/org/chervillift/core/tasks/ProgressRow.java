package org.chervillift.core.tasks;

/** The content of a row in which progress of a job is stored. */
public sealed interface ProgressRow {

    /** Returns the identifier of the job. */
    String jobId();

    /** Returns whether the row says that the job is in a final state. */
    default boolean endsJob() {
        return false;
    }

    /** The whole progress of a job. */
    record Whole(String jobId, JobProgress progress) implements ProgressRow {
        @Override
        public boolean endsJob() {
            return progress.state().isFinal();
        }
    }

    /** What is stored once of a job whose progress is stored in parts. */
    record Head(String jobId, JobProgressHead progress) implements ProgressRow {}

    /**
     * A part of the progress of a job.
     *
     * @param number the number of the part among those of its step
     */
    record Part(String jobId, int number, ProgressPart progress) implements ProgressRow {}
}
