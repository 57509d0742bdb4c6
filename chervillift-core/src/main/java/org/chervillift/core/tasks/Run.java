package org.chervillift.core.tasks;

import org.chervillift.api.tasks.Resources;

/** One run of a task on one worker, from the order to start it until its end is certain. */
final class Run {

    /** How far a run is. */
    enum Phase {
        /** The order to start has been sent. */
        STARTING,
        /** No answer came to the order; the run may begin at any time. */
        UNCERTAIN,
        /** The worker has confirmed the run. */
        RUNNING,
        /** The run is to be stopped. */
        STOPPING
    }

    private static final long PACE_RETRY_MILLIS = 300;

    private final TaskEntry task;
    private final int number;
    private final WorkerRecord worker;
    private final Resources footprint;
    private final long startedAt;
    private Phase phase;
    private long phaseSince;
    private long stopSentAt = Long.MIN_VALUE;
    private long stopConfirmedAt = Long.MAX_VALUE;
    private double gauge;
    private int progressPercent;
    private int pacePercent = 100;
    private long paceSentAt = Long.MIN_VALUE / 2;
    private long lastProgressAt;
    private long lastListedAt;

    Run(TaskEntry task, int number, WorkerRecord worker, Phase phase, long now) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.footprint = task.step().spec().footprint();
        this.phase = phase;
        this.phaseSince = now;
        this.lastProgressAt = now;
        this.startedAt = phase == Phase.STARTING ? now : 0;
    }

    /** Returns when the order to start it was given here, in milliseconds; 0 if it was not. */
    long startedAt() {
        return startedAt;
    }

    TaskEntry task() {
        return task;
    }

    int number() {
        return number;
    }

    WorkerRecord worker() {
        return worker;
    }

    Resources footprint() {
        return footprint;
    }

    Phase phase() {
        return phase;
    }

    /** Returns when the present phase began, in milliseconds. */
    long phaseSince() {
        return phaseSince;
    }

    void enterPhase(Phase next, long now) {
        if (phase != next) {
            phase = next;
            phaseSince = now;
        }
    }

    /** Returns when the last order to stop was sent, in milliseconds. */
    long stopSentAt() {
        return stopSentAt;
    }

    void markStopSent(long now) {
        stopSentAt = now;
    }

    /** Notes that the worker will not run this any more. */
    void confirmStopped(long now) {
        stopConfirmedAt = Math.min(stopConfirmedAt, now);
    }

    boolean stopConfirmedBefore(long time) {
        return stopConfirmedAt < time;
    }

    /** Returns whether only a report tells whether the run exists. */
    boolean needsFreshReport() {
        return phase == Phase.UNCERTAIN
                || (phase == Phase.STOPPING && stopConfirmedAt != Long.MAX_VALUE);
    }

    /** Returns the worker's last figure: a tail in milliseconds, or thousandths of a core. */
    double gauge() {
        return gauge;
    }

    void gauge(double newest) {
        gauge = newest;
    }

    int progressPercent() {
        return progressPercent;
    }

    /** Returns when the percentage last grew, in milliseconds. */
    long lastProgressAt() {
        return lastProgressAt;
    }

    /** Returns when the worker last listed the run, in milliseconds. */
    long lastListedAt() {
        return lastListedAt;
    }

    void updateProgress(int newPercent, long now) {
        lastListedAt = now;
        if (newPercent != progressPercent) {
            progressPercent = newPercent;
            lastProgressAt = now;
        }
    }

    int pacePercent() {
        return pacePercent;
    }

    void setPacePercent(int newPercent) {
        pacePercent = newPercent;
    }

    /** Returns whether no order on the pace is under way. */
    boolean canSendPace(long now) {
        return now - paceSentAt >= PACE_RETRY_MILLIS;
    }

    void markPaceSent(long now) {
        paceSentAt = now;
    }
}
