package org.chervillift.core.tasks;

/**
 * A reading of a worker's clock, and the latest moment at which the worker surely was alive.
 *
 * <p>A report may wait on the worker for long after it was asked for. Between two reports the
 * worker's clock, which may be slow, tells how much later the second was made at least.
 *
 * @param sentAt when the call was sent that the report answers, in milliseconds
 * @param clockMillis the worker's time of the report, by its own clock
 * @param aliveAt a moment by which the worker had not ended, in milliseconds
 */
record WorkerClockReading(long sentAt, long clockMillis, long aliveAt) {

    /** Nothing is known yet. */
    static final WorkerClockReading NONE =
            new WorkerClockReading(WorkerEvidence.NEVER, 0, WorkerEvidence.NEVER);

    /** Returns the reading after a further report; reports may arrive in another order. */
    WorkerClockReading next(long nextSentAt, long nextClockMillis) {
        boolean isFirst = sentAt == WorkerEvidence.NEVER;
        long madeAt =
                isFirst ? nextSentAt : Math.max(nextSentAt, sentAt + nextClockMillis - clockMillis);
        return new WorkerClockReading(nextSentAt, nextClockMillis, Math.max(aliveAt, madeAt));
    }
}
