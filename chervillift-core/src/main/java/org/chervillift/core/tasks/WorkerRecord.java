package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WorkerEntry;

/** What is known of one worker. */
final class WorkerRecord {

    private static final int FAILURES_UNTIL_AVOIDED = 3;
    private static final long FIRST_AVOIDANCE_MILLIS = 2_000;
    private static final long MOST_AVOIDANCE_MILLIS = 16_000;

    private final Set<Run> runs = new LinkedHashSet<>();
    private WorkerEntry entry;
    private boolean listed = true;
    private boolean contacted;
    private boolean reachable;
    private boolean cordoned;
    private long bornAtMillis;
    private long leaseEndsAt = Long.MIN_VALUE;
    private long acknowledged;
    private long seenEnd;
    private Resources used = Resources.NONE;
    private int failuresInARow;
    private long unknownSince = Long.MAX_VALUE;
    private long silentSince = Long.MAX_VALUE;
    private long avoidedUntil = Long.MIN_VALUE;
    private long avoidance = FIRST_AVOIDANCE_MILLIS;

    WorkerRecord(WorkerEntry entry) {
        this.entry = entry;
        this.bornAtMillis = entry.bornAtMillis();
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

    void listedAs(WorkerEntry newest) {
        entry = newest;
        listed = true;
    }

    void unlisted() {
        listed = false;
    }

    boolean isListed() {
        return listed;
    }

    /** Returns whether this worker obeys only this holder. */
    boolean isContacted() {
        return contacted;
    }

    void contacted(boolean value) {
        contacted = value;
        reachable = value;
        silentSince = Long.MAX_VALUE;
    }

    /** Returns whether the last call was answered. */
    boolean isReachable() {
        return reachable;
    }

    void reachable(boolean value, long now) {
        reachable = value;
        silentSince = value ? Long.MAX_VALUE : Math.min(silentSince, now);
    }

    /** Returns for how long it has answered no call, in milliseconds. */
    long silentMillis(long now) {
        return Math.max(0, now - silentSince);
    }

    boolean isCordoned() {
        return cordoned;
    }

    void cordoned(boolean value) {
        cordoned = value;
    }

    long bornAtMillis() {
        return bornAtMillis;
    }

    void newLifetime(long born) {
        bornAtMillis = born;
        acknowledged = 0;
        seenEnd = 0;
        failuresInARow = 0;
        avoidedUntil = Long.MIN_VALUE;
    }

    /** Returns when the lease ends that this holder gave; an earlier holder may have given more. */
    long leaseEndsAt() {
        return leaseEndsAt;
    }

    void leaseGranted(long endsAt) {
        leaseEndsAt = Math.max(leaseEndsAt, endsAt);
    }

    /** Returns the greatest end whose effect is stored. */
    long acknowledged() {
        return acknowledged;
    }

    void acknowledge(long number) {
        acknowledged = Math.max(acknowledged, number);
    }

    /** Returns the greatest end whose effect is noted here. */
    long seenEnd() {
        return seenEnd;
    }

    void sawEnd(long number) {
        seenEnd = Math.max(seenEnd, number);
    }

    Set<Run> runs() {
        return runs;
    }

    List<Run> runsCopy() {
        return new ArrayList<>(runs);
    }

    void add(Run run) {
        if (runs.add(run)) {
            used = used.plus(run.footprint());
        }
    }

    void remove(Run run) {
        if (runs.remove(run)) {
            used = used.minus(run.footprint());
        }
    }

    Resources free() {
        return entry.capacity().minus(used);
    }

    /** Returns whether an end of an unknown job has been waiting for longer than a patience. */
    boolean gaveUpOnUnknown(long now, long patienceMillis) {
        unknownSince = Math.min(unknownSince, now);
        return now - unknownSince > patienceMillis;
    }

    void knownAgain() {
        unknownSince = Long.MAX_VALUE;
    }

    /** Returns whether new tasks may go here. */
    boolean takesWork(long now) {
        return listed
                && contacted
                && reachable
                && !cordoned
                && !entry.draining()
                && now >= avoidedUntil;
    }

    void succeeded() {
        failuresInARow = 0;
        avoidance = FIRST_AVOIDANCE_MILLIS;
    }

    /** Notes a failed run; a worker that fails several in a row is avoided for a while. */
    void failed(long now) {
        failuresInARow++;
        if (failuresInARow >= FAILURES_UNTIL_AVOIDED) {
            avoid(now, avoidance);
            avoidance = Math.min(MOST_AVOIDANCE_MILLIS, avoidance * 2);
        }
    }

    void avoid(long now, long millis) {
        avoidedUntil = Math.max(avoidedUntil, now + millis);
    }

    /** Returns whether a task here serves users. */
    boolean serves() {
        return runs.stream().anyMatch(r -> r.task().step().spec().serves());
    }

    String rack() {
        List<String> labels = entry.labels();
        return labels.size() > 1 ? labels.get(1) : "";
    }
}
