package org.chervillift.core.tasks;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * Decides when a process takes, renews or waits for the lease of the fleet's holder.
 *
 * <p>No clocks are compared between processes: a lease is over when its row has not changed for as
 * long as the lease lasts, measured from when this process first saw it so. The lease is short
 * while the store answers quickly, as the fleet stands still until it is over, and longer while
 * renewals take long and while a new holder reads the jobs, since its renewals share the link with
 * these reads. A process that could not read them in its term leaves the next terms to others, and
 * one on a slow link leaves a free lease to those on faster ones for a while.
 */
public final class HolderElection {

    /** A lease lasts for as many renewals as this. */
    private static final int RENEWALS_IN_LEASE = 4;

    /** Long ago, and far enough from the least number that ages can be told. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** What remains of a long lease at each renewal that is quick. */
    private static final double KEPT_OF_LEASE = 0.75;

    private final String process;
    private final String vm;
    private final LeaseTimes times;
    private final long yieldMillis;
    private long leaseMillis;
    private long leastAskedMillis = Long.MAX_VALUE;
    private Optional<HolderRow> row = Optional.empty();
    private long version;
    private long seenSince;
    private long renewedAt = NEVER;
    private boolean reading;
    private boolean standsBack;

    /**
     * How long a lease lasts.
     *
     * @param leastMillis while the store answers quickly
     * @param mostMillis while it answers slowly
     * @param renewEveryMillis how often it is renewed
     */
    public record LeaseTimes(long leastMillis, long mostMillis, long renewEveryMillis) {
        public LeaseTimes {
            Checks.that(renewEveryMillis < leastMillis, "renewEveryMillis must be the least");
            Checks.that(leastMillis <= mostMillis, "leastMillis must not exceed mostMillis");
        }
    }

    /**
     * Creates an election.
     *
     * @param process the process, with a name that no other run of a process has
     * @param vm the entry VM on which it runs
     * @param yieldMillis how long it leaves a free lease to processes that can read the jobs sooner
     */
    public HolderElection(String process, String vm, LeaseTimes times, long yieldMillis) {
        this.process = Checks.notBlank("process", process);
        this.vm = Checks.notBlank("vm", vm);
        this.times = Checks.notNull("times", times);
        this.yieldMillis = Checks.inRange("yieldMillis", yieldMillis, 0, times.mostMillis());
        this.leaseMillis = times.leastMillis();
    }

    /** Takes the row as it was read; an older version than the known one is passed over. */
    public void observe(Optional<HolderRow> read, long readVersion, long now) {
        if (readVersion > version || (version == 0 && row.isEmpty())) {
            row = read;
            version = readVersion;
            seenSince = now;
        }
    }

    /** Notes that a write of this process took effect. */
    public void wrote(HolderRow written, long writtenVersion, long sentAt, long now) {
        observe(Optional.of(written), writtenVersion, now);
        renewedAt = Math.max(renewedAt, sentAt);
        leastAskedMillis = Long.MAX_VALUE;
        long slow = RENEWALS_IN_LEASE * (now - sentAt);
        long kept = Math.round(leaseMillis * KEPT_OF_LEASE);
        leaseMillis = Math.clamp(Math.max(slow, kept), times.leastMillis(), times.mostMillis());
    }

    /** Notes that this process reads the jobs as a new holder. */
    public void readingBegins() {
        reading = true;
    }

    /**
     * Notes that this process reads the jobs no more.
     *
     * @param whole whether it knows all of them now
     */
    public void readingEnds(boolean whole) {
        reading = false;
        standsBack = !whole;
    }

    /** What a process does now. */
    public sealed interface Step {

        /**
         * Write the row under the condition that it has a version.
         *
         * @param row the row to write
         * @param version the version that the row must have; 0 if there must be none
         * @param takeover whether a new term begins
         */
        record Write(HolderRow row, long version, boolean takeover) implements Step {}

        /** Do nothing. */
        record Wait() implements Step {}
    }

    /** Decides what to do. */
    public Step decide(long now) {
        if (row.isEmpty()) {
            return take(0);
        }
        HolderRow held = row.get();
        if (held.process().equals(process)) {
            boolean renew = !held.released() && now - renewedAt >= times.renewEveryMillis();
            return renew ? renewal(held) : new Step.Wait();
        }
        boolean formerSelf = held.vm().equals(vm);
        boolean free = now - seenSince >= patienceMillis(held);
        return formerSelf || free ? take(held.term()) : new Step.Wait();
    }

    /** Returns how long the row of another process must stand still before its lease is taken. */
    private long patienceMillis(HolderRow held) {
        if (held.released()) {
            return yieldMillis;
        }
        return held.leaseMillis() + yieldMillis + (standsBack ? times.mostMillis() : 0);
    }

    private Step renewal(HolderRow held) {
        if (reading) {
            leaseMillis = times.mostMillis();
        }
        leastAskedMillis = Math.min(leastAskedMillis, leaseMillis);
        return new Step.Write(held.renewed(leaseMillis), version, false);
    }

    private Step take(long lastTerm) {
        leaseMillis = times.mostMillis();
        HolderRow next = new HolderRow(process, vm, lastTerm + 1, 0, leaseMillis, false);
        return new Step.Write(next, version, true);
    }

    /** Returns the row that gives the lease back, if this process holds it. */
    public Optional<Step.Write> release() {
        return row.filter(r -> r.process().equals(process) && !r.released())
                .map(r -> new Step.Write(r.givenBack(), version, false));
    }

    /** Returns the term of this process, if it holds the lease as far as it knows. */
    public Optional<Long> heldTerm() {
        return row.filter(r -> r.process().equals(process) && !r.released()).map(HolderRow::term);
    }

    /**
     * Returns whether no other process can hold the lease for a while.
     *
     * @param marginMillis the while
     */
    public boolean isSafe(long marginMillis, long now) {
        if (heldTerm().isEmpty()) {
            return false;
        }
        // A renewal for a shorter time may be in force although its answer has not come.
        long sure = Math.min(row.orElseThrow().leaseMillis(), leastAskedMillis);
        return now + marginMillis < renewedAt + sure;
    }

    /** Returns when the lease was last renewed, in milliseconds; long ago if it never was. */
    public long renewedAt() {
        return renewedAt;
    }
}
