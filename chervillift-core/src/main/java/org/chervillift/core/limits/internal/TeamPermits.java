package org.chervillift.core.limits.internal;

import java.time.Instant;
import org.chervillift.core.limits.Holding;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.TeamRow;

/**
 * The permits of one team at one entry VM.
 *
 * <p>A permit is spent only if it is held under every outcome that a transaction under way may
 * have: what is given back is out of use before the write, what is taken comes into use after the
 * answer.
 */
public final class TeamPermits {

    private static final int NONE = -1;
    private static final int HEADROOM_DIVISOR = 8;
    private static final int LEAST_STEP = 4;
    private static final int MOST_WANTED_LIMITS = 10;

    private final String team;
    private final LimitSettings settings;
    private final Demand demand;
    private long limitVersion;
    private int limit;
    private int granted;
    private int pending = NONE;
    private int cap = Division.NO_CAP;
    private boolean lowered;
    private long loweredVersion;
    private int running;
    private int lastFree;
    private int told;
    private boolean unread = true;
    private Instant readAt = Instant.MIN;
    private Instant nextMove = Instant.MIN;

    /** Creates the state of a team that holds nothing. */
    public TeamPermits(String team, LimitSettings settings) {
        this.team = team;
        this.settings = settings;
        this.demand = new Demand(settings.idleReturn());
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
    public boolean hasRoom() {
        return running < spendable();
    }

    /** Returns whether a request that was admitted before may still be sent. */
    public boolean maySend() {
        return !lowered && running <= sure();
    }

    private int spendable() {
        return lowered ? 0 : Math.min(sure(), cap);
    }

    private int sure() {
        return pending == NONE ? granted : Math.min(granted, pending);
    }

    /** Takes a permit. */
    public void start(Instant now) {
        running++;
        demand.running(running, now);
    }

    /** Puts a permit back. */
    public void end(Instant now) {
        demand.running(running, now);
        running--;
    }

    /** Notes a request that found no permit, and asks again soon if there may be one. */
    public void unmet(Instant now) {
        demand.unmet(running, now);
        if (mayHaveFree(now)) {
            nextMove = now;
        }
    }

    /** Returns whether the table may have a permit to give. */
    public boolean mayHaveFree(Instant now) {
        if (limit == 0 || lowered) {
            return false;
        }
        return unread || lastFree > 0 || readAt.plus(settings.pollEvery()).isBefore(now);
    }

    /**
     * Adopts a limit unless it is of an older version than the one in force.
     *
     * <p>Under a lowered limit nothing starts until the table shows that all permits fit.
     */
    public void adopt(long version, int newLimit, Instant now) {
        if (version <= limitVersion) {
            return;
        }
        if (newLimit < limit && holdsAnything()) {
            lowered = true;
            loweredVersion = version;
        }
        if (newLimit != limit) {
            nextMove = now;
        }
        limitVersion = version;
        limit = newLimit;
    }

    private boolean holdsAnything() {
        return granted > 0 || running > 0 || pending > 0;
    }

    /** Notes what the table held at one moment, with no transaction under way. */
    public void read(TeamRow row, String holder, Instant now) {
        adopt(row.limitVersion(), row.limit(), now);
        granted = row.permitsOf(holder);
        pending = NONE;
        unread = false;
        readAt = now;
        thaw(row);
    }

    /** Notes how the limit is divided, as the table says or would say after the next write. */
    public void divide(TeamRow row, String holder, Instant now) {
        Holding own = row.holdings().get(holder);
        told = own == null ? 0 : own.wanted();
        lastFree = Math.max(0, row.free());
        if (row.free() < 0 && !lowered) {
            lowered = true;
            loweredVersion = row.limitVersion();
        }
        cap = Division.cap(row, holder, wanted(now), Holding.turnOf(now));
    }

    private void thaw(TeamRow row) {
        if (row.limitVersion() >= loweredVersion && row.free() >= 0) {
            lowered = false;
        }
    }

    /** Notes that a transaction under way sets the own holding. */
    public void committing(int permits) {
        pending = permits;
    }

    /** Notes that the transaction took effect with this row. */
    public void committed(TeamRow row, String holder, Instant now) {
        granted = pending;
        pending = NONE;
        thaw(row);
        divide(row, holder, now);
    }

    /** Sets the time before which this team needs no look at the table. */
    public void waitUntil(Instant time) {
        nextMove = time;
    }

    /** Forgets all that an earlier run of the lease held; its work is over by now. */
    public void fenced() {
        granted = 0;
        pending = NONE;
        running = 0;
        told = 0;
        unread = true;
        cap = Division.NO_CAP;
        lowered = false;
    }

    /** Returns whether a look at the table is due. */
    public boolean isDue(int reserve, boolean leaving, Instant now) {
        if (now.isBefore(nextMove)) {
            return false;
        }
        if (leaving || pending != NONE) {
            return granted > running || pending != NONE;
        }
        int need = need(now);
        boolean wantsMore = limit > 0 && Math.max(need, reserve) > granted;
        boolean hasSpare = granted > Math.max(running, target(reserve, now));
        return wantsMore || hasSpare || lowered || isOutOfStep(now) || isReviewDue(need, now);
    }

    private boolean isOutOfStep(Instant now) {
        boolean capped = cap < granted;
        boolean overtold = told > 0 && wanted(now) <= told / 2;
        return capped || overtold;
    }

    private boolean isReviewDue(int need, Instant now) {
        Instant due = readAt.plus(settings.pollEvery().multipliedBy(10));
        return granted > 0 && need >= granted && !now.isBefore(due);
    }

    /** Returns the permits that there was use for lately, at most the limit. */
    private int need(Instant now) {
        return Math.min(limit, demand.need(running, now));
    }

    /** Returns the demand by which a limit is divided, which may exceed the limit. */
    private int wanted(Instant now) {
        return Math.min(limit * MOST_WANTED_LIMITS, demand.need(running, now));
    }

    private int target(int reserve, Instant now) {
        int need = need(now);
        return Math.max(need + need / HEADROOM_DIVISOR, reserve);
    }

    /**
     * Returns the holding that this entry VM should write, given the row without the dead.
     *
     * @param row the row, with the limit that is in force
     * @param reserve the permits to keep while idle
     * @param leaving whether the process stops
     */
    public Holding plan(TeamRow row, int reserve, boolean leaving, Instant now) {
        int wanted = wanted(now);
        long turn = Holding.turnOf(now);
        if (leaving || row.free() < 0) {
            return new Holding(Math.min(granted, running), leaving ? 0 : wanted, turn);
        }
        int desired = Math.min(Math.min(target(reserve, now), limit), cap);
        if (desired <= granted) {
            return new Holding(Math.min(granted, Math.max(running, desired)), wanted, turn);
        }
        int step = Math.max(granted, Math.max(LEAST_STEP, reserve));
        int more = Math.min(desired - granted, Math.min(step, row.free()));
        return new Holding(granted + more, wanted, turn);
    }

    /** Returns whether writing the planned row is worth a transaction. */
    public boolean isWorthWriting(TeamRow read, TeamRow planned, String holder) {
        if (read.permitsOf(holder) != planned.permitsOf(holder)) {
            return true;
        }
        boolean newLimit = planned.limit() != read.limit();
        boolean fits = planned.free() >= 0;
        boolean thaws = lowered && (fits || read.limitVersion() < loweredVersion);
        return (newLimit && granted > 0)
                || thaws
                || wantsChanged(read.holdings().get(holder), planned.holdings().get(holder));
    }

    private boolean wantsChanged(Holding before, Holding after) {
        int was = before == null ? 0 : before.wanted();
        int is = after == null ? 0 : after.wanted();
        boolean grew = is > was && is >= 2 * was;
        boolean shrank = is < was && is <= was / 2;
        return grew || shrank || (is > granted && after.turn() > before.turn() + 1);
    }
}
