package org.chervillift.core.limits.internal;

import java.time.Instant;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.PermitHolding;
import org.chervillift.core.limits.TeamRow;

/**
 * The permits of one team at one entry VM.
 *
 * <p>A permit is used only if it is held whatever the outcome of a pending transaction: returned
 * permits are out of use before the write is sent, acquired permits are usable only after the write
 * is confirmed.
 */
public final class TeamPermits {

    private static final int NO_WRITE = -1;
    private static final int HEADROOM_DIVISOR = 8;
    private static final int MIN_STEP = 4;
    private static final int MAX_DEMAND_FACTOR = 10;

    private final String team;
    private final LimitSettings settings;
    private final PermitDemand demand;
    private long limitVersion;
    private int limit;
    private int granted;
    private int pendingGrant = NO_WRITE;
    private int cap = LimitDivision.NO_CAP;
    private boolean startsBlocked;
    private long blockingVersion;
    private int running;
    private int lastKnownFree;
    private int reportedDemand;
    private boolean rowUnknown = true;
    private Instant readAt = Instant.MIN;
    private Instant nextReadAt = Instant.MIN;

    /** Creates the state of a team without permits. */
    public TeamPermits(String team, LimitSettings settings) {
        this.team = team;
        this.settings = settings;
        this.demand = new PermitDemand(settings.idleReturnDelay());
    }

    /** Returns the team. */
    public String team() {
        return team;
    }

    /** Returns the last known limit. */
    public int limit() {
        return limit;
    }

    /** Returns the requests that run, or may still run, under permits of this process. */
    public int running() {
        return running;
    }

    /** Returns the permits that this process holds by the last known table row. */
    public int granted() {
        return granted;
    }

    /** Returns whether the confirmed permits allow another request to start. */
    public boolean canStart() {
        return running < usablePermits();
    }

    /** Returns whether a request that was admitted before may still be sent. */
    public boolean maySend() {
        return !startsBlocked && running <= confirmedPermits();
    }

    private int usablePermits() {
        return startsBlocked ? 0 : Math.min(confirmedPermits(), cap);
    }

    private int confirmedPermits() {
        return pendingGrant == NO_WRITE ? granted : Math.min(granted, pendingGrant);
    }

    /** Records that a request took a permit. */
    public void recordStart(Instant now) {
        running++;
        demand.recordRunning(running, now);
    }

    /** Records that a request released its permit. */
    public void recordEnd(Instant now) {
        demand.recordRunning(running, now);
        running--;
    }

    /** Records a request that got no permit, and makes a read due if one may be free. */
    public void recordUnmet(Instant now) {
        demand.recordUnmet(running, now);
        if (mayHaveFreePermits(now)) {
            nextReadAt = now;
        }
    }

    /** Returns whether the table may have a free permit. */
    public boolean mayHaveFreePermits(Instant now) {
        if (limit == 0 || startsBlocked) {
            return false;
        }
        return rowUnknown
                || lastKnownFree > 0
                || readAt.plus(settings.pollInterval()).isBefore(now);
    }

    /**
     * Adopts a limit if its version is higher than that of the current limit.
     *
     * <p>After a limit was lowered, no request starts until the table shows that the permits of all
     * holders fit into it.
     */
    public void adoptLimit(long version, int newLimit, Instant now) {
        if (version <= limitVersion) {
            return;
        }
        if (newLimit < limit && holdsAnything()) {
            startsBlocked = true;
            blockingVersion = version;
        }
        if (newLimit != limit) {
            nextReadAt = now;
        }
        limitVersion = version;
        limit = newLimit;
    }

    private boolean holdsAnything() {
        return granted > 0 || running > 0 || pendingGrant > 0;
    }

    /** Updates the state from a row that was read while no transaction was pending. */
    public void rowRead(TeamRow row, String holder, Instant now) {
        adoptLimit(row.limitVersion(), row.limit(), now);
        granted = row.permitsHeldBy(holder);
        pendingGrant = NO_WRITE;
        rowUnknown = false;
        readAt = now;
        unblockStartsIfPermitsFit(row);
    }

    /** Updates the cap and the free permits from a row that was read or is about to be written. */
    public void updateCap(TeamRow row, String holder, Instant now) {
        PermitHolding ownHolding = row.holdings().get(holder);
        reportedDemand = ownHolding == null ? 0 : ownHolding.wanted();
        lastKnownFree = Math.max(0, row.freePermits());
        if (row.freePermits() < 0 && !startsBlocked) {
            startsBlocked = true;
            blockingVersion = row.limitVersion();
        }
        cap = LimitDivision.cap(row, holder, demandToReport(now), PermitHolding.turnOf(now));
    }

    private void unblockStartsIfPermitsFit(TeamRow row) {
        if (row.limitVersion() >= blockingVersion && row.freePermits() >= 0) {
            startsBlocked = false;
        }
    }

    /** Records that a pending transaction sets the permits of this process. */
    public void writeStarted(int permits) {
        pendingGrant = permits;
    }

    /** Records that the pending transaction took effect with this row. */
    public void writeCommitted(TeamRow row, String holder, Instant now) {
        granted = pendingGrant;
        pendingGrant = NO_WRITE;
        unblockStartsIfPermitsFit(row);
        updateCap(row, holder, now);
    }

    /** Sets the time before which no read of the row is due. */
    public void delayReadUntil(Instant time) {
        nextReadAt = time;
    }

    /** Resets the state after the lease was lost; all requests under it must have ended by then. */
    public void leaseLost() {
        granted = 0;
        pendingGrant = NO_WRITE;
        running = 0;
        reportedDemand = 0;
        rowUnknown = true;
        cap = LimitDivision.NO_CAP;
        startsBlocked = false;
    }

    /** Returns whether a read of the row is due. */
    public boolean isReadDue(int reserve, boolean shuttingDown, Instant now) {
        if (now.isBefore(nextReadAt)) {
            return false;
        }
        if (shuttingDown || pendingGrant != NO_WRITE) {
            return granted > running || pendingGrant != NO_WRITE;
        }
        int need = permitsNeeded(now);
        boolean wantsMore = limit > 0 && Math.max(need, reserve) > granted;
        boolean hasSpare = granted > Math.max(running, targetPermits(reserve, now));
        return wantsMore
                || hasSpare
                || startsBlocked
                || isOverCapOrOverReported(now)
                || isReviewDue(need, now);
    }

    private boolean isOverCapOrOverReported(Instant now) {
        boolean isOverCap = cap < granted;
        boolean isOverReported = reportedDemand > 0 && demandToReport(now) <= reportedDemand / 2;
        return isOverCap || isOverReported;
    }

    private boolean isReviewDue(int need, Instant now) {
        Instant due = readAt.plus(settings.pollInterval().multipliedBy(10));
        return granted > 0 && need >= granted && !now.isBefore(due);
    }

    /** Returns the recent demand, at most the limit. */
    private int permitsNeeded(Instant now) {
        return Math.min(limit, demand.permitsNeeded(running, now));
    }

    /** Returns the demand that is reported for the division of the limit; may exceed the limit. */
    private int demandToReport(Instant now) {
        return Math.min(limit * MAX_DEMAND_FACTOR, demand.permitsNeeded(running, now));
    }

    private int targetPermits(int reserve, Instant now) {
        int need = permitsNeeded(now);
        return Math.max(need + need / HEADROOM_DIVISOR, reserve);
    }

    /**
     * Returns the holding that this entry VM should write.
     *
     * @param row the row with the current limit, without holders whose leases are gone
     * @param reserve the permits to keep while idle
     * @param shuttingDown whether the process is shutting down
     */
    public PermitHolding planHolding(TeamRow row, int reserve, boolean shuttingDown, Instant now) {
        int wanted = demandToReport(now);
        long turn = PermitHolding.turnOf(now);
        if (shuttingDown || row.freePermits() < 0) {
            return new PermitHolding(Math.min(granted, running), shuttingDown ? 0 : wanted, turn);
        }
        int desired = Math.min(Math.min(targetPermits(reserve, now), limit), cap);
        if (desired <= granted) {
            return new PermitHolding(Math.min(granted, Math.max(running, desired)), wanted, turn);
        }
        int step = Math.max(granted, Math.max(MIN_STEP, reserve));
        int more = Math.min(desired - granted, Math.min(step, row.freePermits()));
        return new PermitHolding(granted + more, wanted, turn);
    }

    /** Returns whether writing the planned row is worth a transaction. */
    public boolean isWorthWriting(TeamRow read, TeamRow planned, String holder) {
        if (read.permitsHeldBy(holder) != planned.permitsHeldBy(holder)) {
            return true;
        }
        boolean newLimit = planned.limit() != read.limit();
        boolean fits = planned.freePermits() >= 0;
        boolean unblocksStarts = startsBlocked && (fits || read.limitVersion() < blockingVersion);
        return (newLimit && granted > 0)
                || unblocksStarts
                || isDemandChanged(read.holdings().get(holder), planned.holdings().get(holder));
    }

    private boolean isDemandChanged(PermitHolding before, PermitHolding after) {
        int oldDemand = before == null ? 0 : before.wanted();
        int newDemand = after == null ? 0 : after.wanted();
        boolean grew = newDemand > oldDemand && newDemand >= 2 * oldDemand;
        boolean shrank = newDemand < oldDemand && newDemand <= oldDemand / 2;
        return grew || shrank || (newDemand > granted && after.turn() > before.turn() + 1);
    }
}
