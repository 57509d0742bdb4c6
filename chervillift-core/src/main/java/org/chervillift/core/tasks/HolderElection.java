package org.chervillift.core.tasks;

import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * Leader election for the fleet: decides whether this process acquires, renews or waits for the
 * holder's lease.
 *
 * <p>Clocks of different processes are not compared. A lease has expired when its row has not
 * changed for the duration of the lease, measured from when this process first read that version.
 * After the loss of a holder nothing is scheduled until its lease has expired, so the lease is
 * short while the store answers quickly. It is longer while renewals are slow or late, and while a
 * new holder reads the jobs, because its renewals share the link with these reads. A process that
 * failed to read the jobs during its term waits longer before its next takeover, and a process on a
 * slow link waits before it takes a free lease, so that processes on faster links go first.
 *
 * <p>Only time in which this process could read the store counts towards the expiry of another
 * process's lease. While the store is down nobody can renew, so its return would otherwise start a
 * race in which the holder, which still knows all jobs, often loses.
 */
public final class HolderElection {

    /** A lease lasts at least this many times as long as the last renewal took or was late. */
    private static final int RENEWAL_TIMES_PER_LEASE = 4;

    /** Before any real time, and far enough from Long.MIN_VALUE that subtraction can't overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    /** After a fast renewal, the lease duration shrinks by this factor at most. */
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
    private boolean isFirstRow;
    private long storeReadableSince = NEVER;
    private boolean storeReadable = true;
    private long lastRenewedAt = NEVER;
    private boolean readingJobs;
    private boolean yieldsNextTerm;

    /**
     * Bounds of the lease duration, and the renewal interval.
     *
     * @param minMillis the lease duration while the store answers quickly
     * @param maxMillis the lease duration while the store answers slowly
     * @param renewIntervalMillis the time between two renewals
     */
    public record LeaseTimes(long minMillis, long maxMillis, long renewIntervalMillis) {
        public LeaseTimes {
            Checks.that(
                    renewIntervalMillis < minMillis,
                    "renewIntervalMillis must be less than minMillis");
            Checks.that(minMillis <= maxMillis, "minMillis must not exceed maxMillis");
        }
    }

    /**
     * Creates an election.
     *
     * @param process the unique name of this process, which changes with each restart
     * @param vm the entry VM on which it runs
     * @param yieldMillis how long this process leaves a free lease to processes that can read the
     *     jobs faster
     */
    public HolderElection(String process, String vm, LeaseTimes times, long yieldMillis) {
        this.process = Checks.notBlank("process", process);
        this.vm = Checks.notBlank("vm", vm);
        this.leaseTimes = Checks.notNull("times", times);
        this.yieldMillis = Checks.inRange("yieldMillis", yieldMillis, 0, times.maxMillis());
        this.leaseMillis = times.minMillis();
    }

    /** Records the row as read from the store; ignores a version older than the known one. */
    public void observe(Optional<HolderRow> read, long readVersion, long now) {
        if (readVersion > rowVersion || (rowVersion == 0 && currentRow.isEmpty())) {
            isFirstRow = rowVersion == 0;
            currentRow = read;
            rowVersion = readVersion;
            rowUnchangedSince = now;
        }
    }

    /** Records whether this process can read the store now. */
    public void recordStoreReadable(boolean readable, long now) {
        if (readable && !storeReadable) {
            storeReadableSince = now;
        }
        storeReadable = readable;
    }

    /** Records that a write of this process succeeded. */
    public void writeSucceeded(HolderRow written, long writtenVersion, long sentAt, long now) {
        observe(Optional.of(written), writtenVersion, now);
        long slowness = Math.max(now - sentAt, latenessMillis(sentAt));
        lastRenewedAt = Math.max(lastRenewedAt, sentAt);
        shortestRequestedLeaseMillis = Long.MAX_VALUE;
        long decayed = Math.round(leaseMillis * LEASE_DECAY_FACTOR);
        leaseMillis =
                Math.clamp(
                        Math.max(RENEWAL_TIMES_PER_LEASE * slowness, decayed),
                        leaseTimes.minMillis(),
                        leaseTimes.maxMillis());
    }

    /**
     * Returns how much later than due a renewal was sent, since this process was busy or paused.
     */
    private long latenessMillis(long sentAt) {
        boolean first = lastRenewedAt == NEVER;
        return first ? 0 : Math.max(0, sentAt - lastRenewedAt - leaseTimes.renewIntervalMillis());
    }

    /** Records that this process starts to read the jobs as the new holder. */
    public void startReading() {
        readingJobs = true;
    }

    /**
     * Records that this process has stopped reading the jobs.
     *
     * @param complete whether all jobs have been read
     */
    public void finishReading(boolean complete) {
        readingJobs = false;
        yieldsNextTerm = !complete;
    }

    /** What this process does next. */
    public sealed interface Decision {

        /**
         * Write the row if the stored row has the expected version.
         *
         * @param row the row to write
         * @param version the expected version; 0 if the row must not exist
         * @param takeover whether the write starts a new term
         */
        record Write(HolderRow row, long version, boolean takeover) implements Decision {}

        /** Do nothing for now. */
        record Wait() implements Decision {}
    }

    /** Whether this process may take the lease, and why not. */
    public enum Standing {
        /** There is no row: no process has held the lease. */
        NEVER_HELD,
        /** This process holds the lease, as far as the row says. */
        HELD_HERE,
        /** Another process's row has changed too recently. */
        HELD_BY_OTHER,
        /** Another process's row is old, but this process cannot read the store now. */
        STORE_NOT_READABLE,
        /** Another process's row is old, but this process has only just begun to read the store. */
        STORE_READABLE_AGAIN,
        /** The lease may be taken, also by the process that has released it. */
        FREE
    }

    /**
     * What a process knows of the lease.
     *
     * @param vm the entry VM of the process that the row names, or empty
     * @param term the term that the row names; 0 if there is no row
     * @param unchangedMillis how long this process has seen no change of the row, in milliseconds;
     *     0 if there is no row
     * @param standing whether this process may take the lease
     */
    public record LeaseView(String vm, long term, long unchangedMillis, Standing standing) {
        public LeaseView {
            Checks.notNull("vm", vm);
            Checks.notNull("standing", standing);
        }
    }

    /** Returns what this process knows of the lease. */
    public LeaseView view(long now) {
        return new LeaseView(
                currentRow.map(HolderRow::vm).orElse(""),
                currentRow.map(HolderRow::term).orElse(0L),
                currentRow.isPresent() ? now - rowUnchangedSince : 0,
                standing(now));
    }

    /** Decides what this process does next. */
    public Decision decide(long now) {
        return switch (standing(now)) {
            case NEVER_HELD -> takeOver(0);
            case HELD_HERE -> renewIfDue(now);
            case FREE -> takeOver(currentRow.orElseThrow().term());
            case HELD_BY_OTHER, STORE_NOT_READABLE, STORE_READABLE_AGAIN -> new Decision.Wait();
        };
    }

    private Standing standing(long now) {
        if (currentRow.isEmpty()) {
            return Standing.NEVER_HELD;
        }
        HolderRow held = currentRow.get();
        if (held.process().equals(process)) {
            return held.released() ? Standing.FREE : Standing.HELD_HERE;
        }
        // A row that another process has written while this one runs shows that it is alive.
        if (held.vm().equals(vm) && isFirstRow) {
            return Standing.FREE;
        }
        long wait = takeoverWaitMillis(held);
        if (now - rowUnchangedSince < wait) {
            return Standing.HELD_BY_OTHER;
        }
        if (!storeReadable) {
            return Standing.STORE_NOT_READABLE;
        }
        return now - storeReadableSince < wait ? Standing.STORE_READABLE_AGAIN : Standing.FREE;
    }

    private Decision renewIfDue(long now) {
        boolean due = now - lastRenewedAt >= leaseTimes.renewIntervalMillis();
        return due ? renewal(currentRow.orElseThrow()) : new Decision.Wait();
    }

    /** Returns how long another process's row must stay unchanged before its lease is taken. */
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

    /** Returns the write that releases the lease, if this process holds it. */
    public Optional<Decision.Write> release() {
        return currentRow
                .filter(r -> r.process().equals(process) && !r.released())
                .map(r -> new Decision.Write(r.afterRelease(), rowVersion, false));
    }

    /** Returns the term of this process, if the last known row says that it holds the lease. */
    public Optional<Long> heldTerm() {
        return currentRow
                .filter(r -> r.process().equals(process) && !r.released())
                .map(HolderRow::term);
    }

    /**
     * Returns whether this process is sure to hold the lease for a time to come.
     *
     * @param marginMillis how long from now no other process may be able to acquire the lease
     */
    public boolean isLeaseValidFor(long marginMillis, long now) {
        if (heldTerm().isEmpty()) {
            return false;
        }
        // A renewal that shortens the lease may have been stored although it was not answered yet.
        long certainMillis =
                Math.min(currentRow.orElseThrow().leaseMillis(), shortestRequestedLeaseMillis);
        return now + marginMillis < lastRenewedAt + certainMillis;
    }

    /**
     * Returns when the last successful renewal was sent, in milliseconds; a time long ago if there
     * was none.
     */
    public long lastRenewedAt() {
        return lastRenewedAt;
    }
}
