package org.chervillift.core.tasks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.placement.WorkerSpeed;

/** The scheduler's state of one worker. */
final class WorkerRecord {

    private static final int FAILURES_BEFORE_BACK_OFF = 3;
    private static final long INITIAL_BACK_OFF_MILLIS = 2_000;
    private static final long MAX_BACK_OFF_MILLIS = 16_000;

    /** Longer than the longest back-off, after which a faulty worker fails again. */
    private static final long MAX_FAILURE_GAP_MILLIS = 2 * MAX_BACK_OFF_MILLIS;

    /** How long a report shows that a worker is alive; a plan follows each report sooner. */
    private static final long PROOF_OF_LIFE_MILLIS = 300;

    /** The ended lifetimes whose late reports are recognized; reports are seconds late at most. */
    private static final int MAX_ENDED_LIFETIMES = 8;

    private final Set<Run> runs = new LinkedHashSet<>();
    private final Evacuation evacuation;
    private WorkerEntry entry;
    private boolean listed = true;
    private boolean reported;
    private boolean reachable;
    private boolean cordoned;
    private boolean maintenanceDue;
    private final Deque<Long> endedLifetimes = new ArrayDeque<>();
    private long bornAtMillis;
    private long lifetimeKnownSince;
    private WorkerClockReading lastReading = WorkerClockReading.NONE;
    private long lastReportAt = Long.MIN_VALUE / 2;
    private long leaseEndsAt = Long.MIN_VALUE;
    private long acknowledgedEnd;
    private long lastAppliedEnd;
    private Resources usedResources = Resources.NONE;
    private boolean oddEntryNoted;
    private int consecutiveFailures;
    private long lastFailureAt = Long.MIN_VALUE / 2;
    private long lastBackOffAt = Long.MIN_VALUE;
    private long unknownJobSince = Long.MAX_VALUE;
    private long unreachableSince = Long.MAX_VALUE;
    private long backOffUntil = Long.MIN_VALUE;
    private long presumedFaultyUntil = Long.MIN_VALUE;
    private long nextBackOffMillis = INITIAL_BACK_OFF_MILLIS;
    private WorkerSpeed speed = new WorkerSpeed();
    private double slowness = 1;

    /**
     * Creates the record of a listed worker.
     *
     * @param evacuation tells in which data centres no task may be started
     */
    WorkerRecord(WorkerEntry entry, Evacuation evacuation, long now) {
        this.entry = entry;
        this.evacuation = evacuation;
        this.bornAtMillis = entry.bornAtMillis();
        this.lifetimeKnownSince = now;
    }

    WorkerEntry entry() {
        return entry;
    }

    String id() {
        return entry.id();
    }

    String pool() {
        return entry.pool();
    }

    void updateEntry(WorkerEntry newest) {
        entry = newest;
        listed = true;
    }

    void markUnlisted() {
        listed = false;
    }

    boolean isListed() {
        return listed;
    }

    /** Returns whether the worker has reported to this holder, and so obeys no earlier one. */
    boolean hasReported() {
        return reported;
    }

    void reported(boolean value) {
        reported = value;
        reachable = value;
        unreachableSince = Long.MAX_VALUE;
    }

    /** Returns whether the last call was answered. */
    boolean isReachable() {
        return reachable;
    }

    void reachable(boolean value, long now) {
        reachable = value;
        unreachableSince = value ? Long.MAX_VALUE : Math.min(unreachableSince, now);
    }

    /** Returns how long the worker has not answered calls, in milliseconds; 0 if it answers. */
    long unreachableMillis(long now) {
        return Math.max(0, now - unreachableSince);
    }

    boolean isCordoned() {
        return cordoned;
    }

    void cordoned(boolean value) {
        cordoned = value;
    }

    /** Returns whether the worker's lifetime ends by its own notice, or by an order for its VM. */
    boolean isEndExpected() {
        return cordoned || entry.draining();
    }

    /** Returns whether the worker's data centre is evacuated. */
    boolean isEvacuated() {
        return evacuation.covers(entry.dataCentre());
    }

    /** Returns whether maintenance of the worker's VM is ordered and has not begun. */
    boolean isMaintenanceDue() {
        return maintenanceDue;
    }

    void maintenanceDue(boolean value) {
        maintenanceDue = value;
    }

    long bornAtMillis() {
        return bornAtMillis;
    }

    /** Returns whether a newer worker has registered on the VM of this one. */
    boolean isFormerOf(WorkerEntry newest) {
        return entry.vm().equals(newest.vm())
                && !id().equals(newest.id())
                && bornAtMillis != 0
                && bornAtMillis < newest.bornAtMillis();
    }

    /** Returns whether a lifetime has ended before the present one; its reports may come late. */
    boolean isEndedLifetime(long otherBornAtMillis) {
        return endedLifetimes.contains(otherBornAtMillis);
    }

    /** Returns what is known of the present lifetime. */
    WorkerEvidence evidence(boolean registeredBeforeTerm) {
        return new WorkerEvidence(
                id(), lifetimeKnownSince, lastReading.aliveAt(), registeredBeforeTerm);
    }

    /** Records that the worker reported at a time of its own clock, in milliseconds. */
    void recordReport(long sentAt, long clockMillis, long now) {
        lastReading = lastReading.next(sentAt, clockMillis);
        lastReportAt = now;
    }

    /**
     * Returns whether the worker has just reported, so that it was alive when an order that is sent
     * now was on its way, unless it ends in this short time.
     */
    boolean isSurelyAlive(long now) {
        return reachable && now - lastReportAt <= PROOF_OF_LIFE_MILLIS;
    }

    void startNewLifetime(long newBornAtMillis, long now) {
        if (bornAtMillis != 0) {
            endedLifetimes.addLast(bornAtMillis);
        }
        if (endedLifetimes.size() > MAX_ENDED_LIFETIMES) {
            endedLifetimes.removeFirst();
        }
        bornAtMillis = newBornAtMillis;
        lifetimeKnownSince = now;
        lastReading = WorkerClockReading.NONE;
        lastReportAt = Long.MIN_VALUE / 2;
        acknowledgedEnd = 0;
        lastAppliedEnd = 0;
        oddEntryNoted = false;
        consecutiveFailures = 0;
        lastBackOffAt = Long.MIN_VALUE;
        backOffUntil = Long.MIN_VALUE;
        presumedFaultyUntil = Long.MIN_VALUE;
        speed = new WorkerSpeed();
        slowness = 1;
    }

    /** Returns what is learned of the worker's speed in this lifetime. */
    WorkerSpeed speed() {
        return speed;
    }

    /** Returns how many times as long as usual runs take here; 1 unless it is clearly slower. */
    double slowness() {
        return slowness;
    }

    void slowness(double newest) {
        slowness = newest;
    }

    /**
     * Returns when the lease granted by this holder ends; one of an earlier holder may end later.
     */
    long leaseEndsAt() {
        return leaseEndsAt;
    }

    void leaseGranted(long endsAt) {
        leaseEndsAt = Math.max(leaseEndsAt, endsAt);
    }

    /** Returns the number of the last reported end of a run whose effect is stored. */
    long acknowledgedEnd() {
        return acknowledgedEnd;
    }

    void acknowledge(long number) {
        acknowledgedEnd = Math.max(acknowledgedEnd, number);
    }

    /** Returns the number of the last reported end of a run that was applied. */
    long lastAppliedEnd() {
        return lastAppliedEnd;
    }

    void markEndApplied(long number) {
        lastAppliedEnd = Math.max(lastAppliedEnd, number);
    }

    /** Notes an odd entry in a report; returns whether it is the first of this lifetime. */
    boolean noteOddEntry() {
        boolean first = !oddEntryNoted;
        oddEntryNoted = true;
        return first;
    }

    Set<Run> runs() {
        return runs;
    }

    List<Run> runsCopy() {
        return new ArrayList<>(runs);
    }

    void add(Run run) {
        if (runs.add(run)) {
            usedResources = usedResources.plus(run.footprint());
        }
    }

    void remove(Run run) {
        if (runs.remove(run)) {
            usedResources = usedResources.minus(run.footprint());
        }
    }

    /** Returns whether a run fits beside those that are open; none does while they exceed it. */
    boolean hasRoomFor(Resources footprint) {
        return usedResources.plus(footprint).fitsIn(entry.capacity());
    }

    /** Returns the capacity that is left by the runs that the worker has confirmed or listed. */
    Resources capacityBesideBegunRuns() {
        return capacityBeside(Run::hasBegun);
    }

    private Resources capacityBeside(Predicate<Run> counted) {
        Resources used =
                runs.stream()
                        .filter(counted)
                        .map(Run::footprint)
                        .reduce(Resources.NONE, Resources::plus);
        return entry.capacity().minus(used);
    }

    /** Returns whether the open runs exceed the capacity, which may shrink while they run. */
    boolean isOverCapacity() {
        return !usedResources.fitsIn(entry.capacity());
    }

    /** Returns the capacity that is left once all runs have ended that end by themselves. */
    Resources capacityBesideLongRunning() {
        return capacityBeside(r -> r.task().step().spec().longRunning());
    }

    /** Returns the capacity that open runs leave, with nothing below zero. */
    Resources freeResources() {
        return entry.capacity().minus(usedResources);
    }

    /**
     * Records that the next end cannot be applied because its job is unknown; returns whether this
     * has lasted longer than a timeout.
     */
    boolean isUnknownJobTimedOut(long now, long timeoutMillis) {
        unknownJobSince = Math.min(unknownJobSince, now);
        return now - unknownJobSince > timeoutMillis;
    }

    void clearUnknownJob() {
        unknownJobSince = Long.MAX_VALUE;
    }

    /** Returns whether new tasks may be placed on this worker. */
    boolean acceptsTasks(long now) {
        return obstacle(now) == WorkerObstacle.NONE;
    }

    /** Returns why no new task may be placed on this worker. */
    WorkerObstacle obstacle(long now) {
        if (!listed) {
            return WorkerObstacle.UNLISTED;
        }
        if (!reported) {
            return WorkerObstacle.NOT_REPORTED;
        }
        if (!reachable) {
            return WorkerObstacle.UNREACHABLE;
        }
        if (cordoned) {
            return WorkerObstacle.CORDONED;
        }
        if (entry.draining()) {
            return WorkerObstacle.DRAINING;
        }
        if (now < backOffUntil || isPresumedFaulty(now)) {
            return WorkerObstacle.BACKING_OFF;
        }
        return isEvacuated() ? WorkerObstacle.EVACUATED : WorkerObstacle.NONE;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        nextBackOffMillis = INITIAL_BACK_OFF_MILLIS;
    }

    /**
     * Records a failed run; after several failures in a row the worker gets no tasks for a time.
     *
     * <p>Failures far apart are not a row: long-running tasks that fail now and then never end
     * well. A run that began before the worker was last kept free says nothing new of it.
     *
     * @param begunAt when the failed run began, in milliseconds
     */
    void recordFailure(long begunAt, long now) {
        if (begunAt <= lastBackOffAt) {
            return;
        }
        if (now - lastFailureAt > MAX_FAILURE_GAP_MILLIS) {
            recordSuccess();
        }
        lastFailureAt = now;
        consecutiveFailures++;
        if (consecutiveFailures >= FAILURES_BEFORE_BACK_OFF) {
            presumeFaulty(now, nextBackOffMillis);
            lastBackOffAt = now;
            nextBackOffMillis = Math.min(MAX_BACK_OFF_MILLIS, nextBackOffMillis * 2);
        }
    }

    /**
     * Keeps tasks off a worker for a time, since runs on it fail or stand still. These may be at
     * fault as well, see {@link FaultyWorkerLimit}.
     */
    void presumeFaulty(long now, long millis) {
        presumedFaultyUntil = Math.max(presumedFaultyUntil, now + millis);
    }

    boolean isPresumedFaulty(long now) {
        return now < presumedFaultyUntil;
    }

    long presumedFaultyUntil() {
        return presumedFaultyUntil;
    }

    /** Lets the worker get tasks again. */
    void presumeSound() {
        presumedFaultyUntil = Long.MIN_VALUE;
    }

    /** Keeps tasks off a worker for a time, since it has refused one. */
    void backOff(long now, long millis) {
        backOffUntil = Math.max(backOffUntil, now + millis);
    }

    /** Returns whether a task that serves users runs on this worker. */
    boolean servesUsers() {
        return runs.stream().anyMatch(r -> r.task().step().spec().serves());
    }

    /** Returns whether a task that runs until its job is cancelled runs on this worker. */
    boolean hasLongRunningRuns() {
        return runs.stream().anyMatch(r -> r.task().step().spec().longRunning());
    }

    /** Returns how many tasks run on this worker under which a worker has crashed before. */
    long suspectRuns() {
        return runs.stream().filter(r -> r.task().crashes().isSuspect()).count();
    }

    String rack() {
        List<String> labels = entry.labels();
        return labels.size() > 1 ? labels.get(1) : "";
    }
}
