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
    private static final int RENEWAL_TIMES_PER_LEASE = 4;

    /** Long ago, and far enough from the least number that ages can be told. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** What remains of a long lease at each renewal that is quick. */
    private static final double LEASE_DECAY_FACTOR = 0.75;

    private final String process;
    private final String vm;
    private final LeaseTimes leaseTimes;
    private final long yieldMillis;
    private long leaseMillis;
    private long shortestRequestedLeaseMillis = Long.MAX_VALUE;
    private Optional<HolderRow> currentRow = Optional.empty();
    private long rowVersion;
    private long rowUnchangedSince;
    private long lastRenewedAt = NEVER;
    private boolean readingJobs;
    private boolean yieldsNextTerm;

    /**
     * How long a lease lasts.
     *
     * @param leastMillis while the store answers quickly
     * @param mostMillis while it answers slowly
     * @param renewEveryMillis how often it is renewed
     */
    public record LeaseTimes(long minMillis, long maxMillis, long renewIntervalMillis) {
        public LeaseTimes {
            Checks.that(renewIntervalMillis < minMillis, "renewEveryMillis must be the least");
            Checks.that(minMillis <= maxMillis, "leastMillis must not exceed mostMillis");
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
        this.leaseTimes = Checks.notNull("times", times);
        this.yieldMillis = Checks.inRange("yieldMillis", yieldMillis, 0, times.maxMillis());
        this.leaseMillis = times.minMillis();
    }

    /** Takes the row as it was read; an older version than the known one is passed over. */
    public void observe(Optional<HolderRow> read, long readVersion, long now) {
        if (readVersion > rowVersion || (rowVersion == 0 && currentRow.isEmpty())) {
            currentRow = read;
            rowVersion = readVersion;
            rowUnchangedSince = now;
        }
    }

    /** Notes that a write of this process took effect. */
    public void writeSucceeded(HolderRow written, long writtenVersion, long sentAt, long now) {
        observe(Optional.of(written), writtenVersion, now);
        lastRenewedAt = Math.max(lastRenewedAt, sentAt);
        shortestRequestedLeaseMillis = Long.MAX_VALUE;
        long slow = RENEWAL_TIMES_PER_LEASE * (now - sentAt);
        long kept = Math.round(leaseMillis * LEASE_DECAY_FACTOR);
        leaseMillis =
                Math.clamp(Math.max(slow, kept), leaseTimes.minMillis(), leaseTimes.maxMillis());
    }

    /** Notes that this process reads the jobs as a new holder. */
    public void startReading() {
        readingJobs = true;
    }

    /**
     * Notes that this process reads the jobs no more.
     *
     * @param whole whether it knows all of them now
     */
    public void finishReading(boolean whole) {
        readingJobs = false;
        yieldsNextTerm = !whole;
    }

    /** What a process does now. */
    public sealed interface Decision {

        /**
         * Write the row under the condition that it has a version.
         *
         * @param row the row to write
         * @param version the version that the row must have; 0 if there must be none
         * @param takeover whether a new term begins
         */
        record Write(HolderRow row, long version, boolean takeover) implements Decision {}

        /** Do nothing. */
        record Wait() implements Decision {}
    }

    /** Decides what to do. */
    public Decision decide(long now) {
        if (currentRow.isEmpty()) {
            return takeOver(0);
        }
        HolderRow held = currentRow.get();
        if (held.process().equals(process)) {
            boolean renew =
                    !held.released() && now - lastRenewedAt >= leaseTimes.renewIntervalMillis();
            return renew ? renewal(held) : new Decision.Wait();
        }
        boolean formerSelf = held.vm().equals(vm);
        boolean free = now - rowUnchangedSince >= takeoverWaitMillis(held);
        return formerSelf || free ? takeOver(held.term()) : new Decision.Wait();
    }

    /** Returns how long the row of another process must stand still before its lease is taken. */
    private long takeoverWaitMillis(HolderRow held) {
        if (held.released()) {
            return yieldMillis;
        }
        return held.leaseMillis() + yieldMillis + (yieldsNextTerm ? leaseTimes.maxMillis() : 0);
    }

    private Decision renewal(HolderRow held) {
        if (readingJobs) {
            leaseMillis = leaseTimes.maxMillis();
        }
        shortestRequestedLeaseMillis = Math.min(shortestRequestedLeaseMillis, leaseMillis);
        return new Decision.Write(held.afterRenewal(leaseMillis), rowVersion, false);
    }

    private Decision takeOver(long lastTerm) {
        leaseMillis = leaseTimes.maxMillis();
        HolderRow next = new HolderRow(process, vm, lastTerm + 1, 0, leaseMillis, false);
        return new Decision.Write(next, rowVersion, true);
    }

    /** Returns the row that gives the lease back, if this process holds it. */
    public Optional<Decision.Write> release() {
        return currentRow
                .filter(r -> r.process().equals(process) && !r.released())
                .map(r -> new Decision.Write(r.afterRelease(), rowVersion, false));
    }

    /** Returns the term of this process, if it holds the lease as far as it knows. */
    public Optional<Long> heldTerm() {
        return currentRow
                .filter(r -> r.process().equals(process) && !r.released())
                .map(HolderRow::term);
    }

    /**
     * Returns whether no other process can hold the lease for a while.
     *
     * @param marginMillis the while
     */
    public boolean isLeaseValidFor(long marginMillis, long now) {
        if (heldTerm().isEmpty()) {
            return false;
        }
        // A renewal for a shorter time may be in force although its answer has not come.
        long sure = Math.min(currentRow.orElseThrow().leaseMillis(), shortestRequestedLeaseMillis);
        return now + marginMillis < lastRenewedAt + sure;
    }

    /** Returns when the lease was last renewed, in milliseconds; long ago if it never was. */
    public long lastRenewedAt() {
        return lastRenewedAt;
    }
}
