package org.chervillift.core.limits.internal;

import java.time.Instant;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.PermitHolding;
import org.chervillift.core.limits.TeamRow;

/**
 * The permits of one team at one entry VM.
 *
 * <p>A permit is spent only if it is held under every outcome that a transaction under way may
 * have: what is given back is out of use before the write, what is taken comes into use after the
 * answer.
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

    /** Creates the state of a team that holds nothing. */
    public TeamPermits(String team, LimitSettings settings) {
        this.team = team;
        this.settings = settings;
        this.demand = new PermitDemand(settings.idleReturnDelay());
    }

    /** Returns the team. */
    public String team() {
        return team;
    }

    /** Returns the limit as known here. */
    public int limit() {
        return limit;
    }

    /** Returns the requests that run, or may run, under permits of this process. */
    public int running() {
        return running;
    }

    /** Returns the permits that the table says are held here, as last known. */
    public int granted() {
        return granted;
    }

    /** Returns whether a start is allowed by the permits that are surely held. */
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

    /** Takes a permit. */
    public void recordStart(Instant now) {
        running++;
        demand.recordRunning(running, now);
    }

    /** Puts a permit back. */
    public void recordEnd(Instant now) {
        demand.recordRunning(running, now);
        running--;
    }

    /** Notes a request that found no permit, and asks again soon if there may be one. */
    public void recordUnmet(Instant now) {
        demand.recordUnmet(running, now);
        if (mayHaveFreePermits(now)) {
            nextReadAt = now;
        }
    }

    /** Returns whether the table may have a permit to give. */
    public boolean mayHaveFreePermits(Instant now) {
        if (limit == 0 || startsBlocked) {
            return false;
        }
        return rowUnknown
                || lastKnownFree > 0
                || readAt.plus(settings.pollInterval()).isBefore(now);
    }

    /**
     * Adopts a limit unless it is of an older version than the one in force.
     *
     * <p>Under a lowered limit nothing starts until the table shows that all permits fit.
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

    /** Notes what the table held at one moment, with no transaction under way. */
    public void rowRead(TeamRow row, String holder, Instant now) {
        adoptLimit(row.limitVersion(), row.limit(), now);
        granted = row.permitsHeldBy(holder);
        pendingGrant = NO_WRITE;
        rowUnknown = false;
        readAt = now;
        unblockStartsIfPermitsFit(row);
    }

    /** Notes how the limit is divided, as the table says or would say after the next write. */
    public void updateCap(TeamRow row, String holder, Instant now) {
        PermitHolding own = row.holdings().get(holder);
        reportedDemand = own == null ? 0 : own.wanted();
        lastKnownFree = Math.max(0, row.freePermits());
        if (row.freePermits() < 0 && !startsBlocked) {
            startsBlocked = true;
            blockingVersion = row.limitVersion();
        }
        cap = LimitDivision.cap(row, holder, demand(now), PermitHolding.turnOf(now));
    }

    private void unblockStartsIfPermitsFit(TeamRow row) {
        if (row.limitVersion() >= blockingVersion && row.freePermits() >= 0) {
            startsBlocked = false;
        }
    }

    /** Notes that a transaction under way sets the own holding. */
    public void writeStarted(int permits) {
        pendingGrant = permits;
    }

    /** Notes that the transaction took effect with this row. */
    public void writeCommitted(TeamRow row, String holder, Instant now) {
        granted = pendingGrant;
        pendingGrant = NO_WRITE;
        unblockStartsIfPermitsFit(row);
        updateCap(row, holder, now);
    }

    /** Sets the time before which this team needs no look at the table. */
    public void delayReadUntil(Instant time) {
        nextReadAt = time;
    }

    /** Forgets all that an earlier run of the lease held; its work is over by now. */
    public void leaseLost() {
        granted = 0;
        pendingGrant = NO_WRITE;
        running = 0;
        reportedDemand = 0;
        rowUnknown = true;
        cap = LimitDivision.NO_CAP;
        startsBlocked = false;
    }

    /** Returns whether a look at the table is due. */
    public boolean isReadDue(int reserve, boolean leaving, Instant now) {
        if (now.isBefore(nextReadAt)) {
            return false;
        }
        if (leaving || pendingGrant != NO_WRITE) {
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
        boolean capped = cap < granted;
        boolean overtold = reportedDemand > 0 && demand(now) <= reportedDemand / 2;
        return capped || overtold;
    }

    private boolean isReviewDue(int need, Instant now) {
        Instant due = readAt.plus(settings.pollInterval().multipliedBy(10));
        return granted > 0 && need >= granted && !now.isBefore(due);
    }

    /** Returns the permits that there was use for lately, at most the limit. */
    private int permitsNeeded(Instant now) {
        return Math.min(limit, demand.permitsNeeded(running, now));
    }

    /** Returns the demand by which a limit is divided, which may exceed the limit. */
    private int demand(Instant now) {
        return Math.min(limit * MAX_DEMAND_FACTOR, demand.permitsNeeded(running, now));
    }

    private int targetPermits(int reserve, Instant now) {
        int need = permitsNeeded(now);
        return Math.max(need + need / HEADROOM_DIVISOR, reserve);
    }

    /**
     * Returns the holding that this entry VM should write, given the row without the dead.
     *
     * @param row the row, with the limit that is in force
     * @param reserve the permits to keep while idle
     * @param leaving whether the process stops
     */
    public PermitHolding planHolding(TeamRow row, int reserve, boolean leaving, Instant now) {
        int wanted = demand(now);
        long turn = PermitHolding.turnOf(now);
        if (leaving || row.freePermits() < 0) {
            return new PermitHolding(Math.min(granted, running), leaving ? 0 : wanted, turn);
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
        boolean thaws = startsBlocked && (fits || read.limitVersion() < blockingVersion);
        return (newLimit && granted > 0)
                || thaws
                || isDemandChanged(read.holdings().get(holder), planned.holdings().get(holder));
    }

    private boolean isDemandChanged(PermitHolding before, PermitHolding after) {
        int was = before == null ? 0 : before.wanted();
        int is = after == null ? 0 : after.wanted();
        boolean grew = is > was && is >= 2 * was;
        boolean shrank = is < was && is <= was / 2;
        return grew || shrank || (is > granted && after.turn() > before.turn() + 1);
    }
}
