package org.chervillift.core.tasks;

import java.util.Optional;
import java.util.OptionalLong;
import org.chervillift.api.tasks.Resources;

/** One run of a task on one worker, from the order to start until its end is certain. */
final class Run {

    /** The phase of a run. */
    enum Phase {
        /** The order to start has been sent. */
        STARTING,
        /** The order to start was not answered; the run may start at any time. */
        UNCERTAIN,
        /** The worker has confirmed the run. */
        RUNNING,
        /** The run must be stopped; orders to stop are repeated until the worker confirms. */
        STOPPING
    }

    /**
     * A crash of a worker, as seen from one of its runs, which it may have ended.
     *
     * @param alone whether no other run on the worker may have caused the crash
     * @param share the part of the crash that falls to the run, as each run of the worker may have
     *     caused it; 0 if the others are not known
     */
    record Crash(boolean alone, double share) {}

    private static final long PACE_RETRY_MILLIS = 300;
    private static final long NEVER_LISTED = Long.MIN_VALUE;

    private final TaskEntry task;
    private final int number;
    private final WorkerRecord worker;
    private final Resources footprint;
    private final long openedAt;
    private final long startedAt;
    private Phase phase;
    private long phaseSince;
    private long stopSentAt = Long.MIN_VALUE;
    private long stopConfirmedAt = Long.MAX_VALUE;
    private double gauge;
    private int progressPercent;
    private int pacePercent = 100;
    private boolean wasPaced;
    private long paceSentAt = Long.MIN_VALUE / 2;
    private long progressClock = NEVER_LISTED;
    private long listedClock = NEVER_LISTED;
    private boolean begun;
    private boolean listed;
    private Optional<Crash> crashDoubt = Optional.empty();
    private boolean startHeld;
    private boolean sentToLiveWorker;
    private long startSentAt;
    private OptionalLong savedAt = OptionalLong.empty();

    Run(TaskEntry task, int number, WorkerRecord worker, Phase phase, long now) {
        this.task = task;
        this.number = number;
        this.worker = worker;
        this.footprint = task.step().spec().footprint();
        this.phase = phase;
        this.phaseSince = now;
        this.openedAt = now;
        this.begun = phase == Phase.RUNNING || phase == Phase.STOPPING;
        this.startSentAt = now;
        this.startedAt = phase == Phase.STARTING ? now : 0;
    }

    /** Returns when this holder ordered the start, in milliseconds; 0 if the run was adopted. */
    long startedAt() {
        return startedAt;
    }

    /** Returns when this holder ordered or adopted the run, in milliseconds. */
    long openedAt() {
        return openedAt;
    }

    /** Records that the order to start is held back until progress is stored. */
    void holdStart() {
        startHeld = true;
    }

    /** Records that the order to start is sent now. */
    void markStartSent(long now) {
        startHeld = false;
        startSentAt = now;
        sentToLiveWorker = worker.isSurelyAlive(now);
    }

    /** Returns whether the worker had just shown that it was alive when the start was sent. */
    boolean wasSentToLiveWorker() {
        return sentToLiveWorker;
    }

    /** Returns whether the order to start is decided, and held back until progress is stored. */
    boolean isStartHeld() {
        return startHeld && phase == Phase.STARTING;
    }

    /** Returns when the order to start was sent, in milliseconds; when it was decided, before. */
    long startSentAt() {
        return startSentAt;
    }

    /** Returns whether the worker has confirmed or listed the run. */
    boolean hasBegun() {
        return begun;
    }

    /**
     * Returns whether a report has listed the run, so that it is of that lifetime of its worker.
     */
    boolean isListed() {
        return listed;
    }

    void markListed() {
        listed = true;
        crashDoubt = Optional.empty();
    }

    /** Records that the worker restarted after a crash, under the run or before it began. */
    void markInDoubt(Crash doubt) {
        crashDoubt = Optional.of(doubt);
    }

    /** Returns what is known of a crash that may have ended the run; empty if there was none. */
    Optional<Crash> crashDoubt() {
        return crashDoubt;
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

    /** Returns when the current phase began, in milliseconds. */
    long phaseSince() {
        return phaseSince;
    }

    void enterPhase(Phase next, long now) {
        begun = begun || next == Phase.RUNNING;
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

    /** Records that the worker has confirmed the order to stop. */
    void confirmStopped(long now) {
        stopConfirmedAt = Math.min(stopConfirmedAt, now);
    }

    boolean stopConfirmedBefore(long time) {
        return stopConfirmedAt < time;
    }

    /** Returns whether only a newer report can tell whether the run still exists. */
    boolean needsFreshReport() {
        return phase == Phase.UNCERTAIN
                || (phase == Phase.STOPPING && stopConfirmedAt != Long.MAX_VALUE);
    }

    /**
     * Returns the last reported gauge: the tail latency in milliseconds of a task that serves
     * users, or the thousandths of a core in use.
     */
    double gauge() {
        return gauge;
    }

    void gauge(double newest) {
        gauge = newest;
    }

    int progressPercent() {
        return progressPercent;
    }

    /**
     * Returns for how long the worker has listed the run without progress, by the worker's clock.
     *
     * <p>The time until the first report does not count: an order may be carried out late, and a
     * report may be read late.
     */
    long stalledMillis() {
        return listedClock - progressClock;
    }

    /** Records the progress that a report tells, with the worker's time of that report. */
    void updateProgress(int newPercent, long workerClock) {
        if (listedClock == NEVER_LISTED || newPercent != progressPercent) {
            progressPercent = newPercent;
            progressClock = workerClock;
        }
        listedClock = workerClock;
    }

    /**
     * Returns when this holder first saw the newest checkpoint of this run, in milliseconds; empty
     * if the run has saved nothing since this holder knows it.
     */
    OptionalLong savedAt() {
        return savedAt;
    }

    /** Records that the run has saved its progress. */
    void markSaved(long now) {
        savedAt = OptionalLong.of(now);
    }

    int pacePercent() {
        return pacePercent;
    }

    /** Records the pace in force; the time at which a run was paced to nothing is no stall. */
    void setPacePercent(int newPercent) {
        progressClock = pacePercent == 0 ? listedClock : progressClock;
        pacePercent = newPercent;
        wasPaced = wasPaced || newPercent < 100;
    }

    /** Returns whether the run has ever been slowed down by an order. */
    boolean wasPaced() {
        return wasPaced;
    }

    /** Returns whether no order to change the pace is in flight. */
    boolean canSendPace(long now) {
        return now - paceSentAt >= PACE_RETRY_MILLIS;
    }

    void markPaceSent(long now) {
        paceSentAt = now;
    }
}
