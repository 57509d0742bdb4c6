package org.chervillift.core.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.core.limits.LimitAction.Commit;
import org.chervillift.core.limits.LimitAction.ReadLeases;
import org.chervillift.core.limits.LimitAction.ReadRows;
import org.chervillift.core.limits.LimitTransaction.LeaseChange;
import org.chervillift.core.limits.LimitTransaction.LeaseWrite;
import org.chervillift.core.limits.LimitTransaction.TeamRowWrite;
import org.chervillift.core.limits.internal.DelayedReturns;
import org.chervillift.core.limits.internal.LeaseTracker;
import org.chervillift.core.limits.internal.TeamPermits;

/**
 * Enforces team limits on one entry VM with permits that it takes from and returns to the
 * platform's table.
 *
 * <p>Admission looks at local state only. At most one request to the platform is outstanding. Not
 * thread-safe.
 */
public final class TeamLimiter {

    private static final Duration MAX_BACKOFF = Duration.ofSeconds(4);
    private static final Duration PENDING_WAIT = Duration.ofMillis(500);

    private final LimitSettings settings;
    private final RandomGenerator random;
    private final LeaseTracker lease;
    private final Map<String, TeamPermits> teams = new HashMap<>();
    private final List<TeamPermits> teamOrder = new ArrayList<>();
    private final DelayedReturns delayedReturns = new DelayedReturns();
    private Operation operation = new NoOperation();
    private Instant nextRequestAt = Instant.MIN;
    private int consecutiveFailures;
    private int batchSize;
    private int nextTeamIndex;
    private long nextPermitNumber;
    private long nextTokenNumber;
    private long limitVersion;
    private boolean shuttingDown;
    private boolean shutdownComplete;

    /**
     * Creates a limiter that holds no permits.
     *
     * @param vm the VM; no other process may be running on it
     * @param dataCentre the data centre of the VM
     * @param incarnation unique among all starts of all processes
     * @param now the current time, taken after the process has bound the addresses of its VM
     */
    public TeamLimiter(
            String vm,
            String dataCentre,
            String incarnation,
            LimitSettings settings,
            RandomGenerator random,
            Instant now) {
        Checks.notBlank("incarnation", incarnation);
        this.settings = Checks.notNull("settings", settings);
        this.random = Checks.notNull("random", random);
        this.lease =
                new LeaseTracker(
                        Checks.notBlank("vm", vm),
                        Checks.notBlank("dataCentre", dataCentre),
                        incarnation,
                        settings,
                        now);
        this.batchSize = settings.batch();
    }

    /** Requests a permit for a new request. */
    public Admission admit(String team, Instant now) {
        TeamPermits t = teams.get(team);
        if (t == null) {
            return new Admission.Refused(settings.pollInterval());
        }
        if (!canStart(now) || !t.canStart()) {
            t.recordUnmet(now);
            return denyOrDefer(t, now);
        }
        return grant(t, now);
    }

    /** Retries the admission of a request that got {@link Admission.TrackedOrder}. */
    public Admission retryAdmission(String team, Instant now) {
        TeamPermits t = teams.get(team);
        if (t == null) {
            return new Admission.Refused(settings.pollInterval());
        }
        return canStart(now) && t.canStart() ? grant(t, now) : denyOrDefer(t, now);
    }

    private boolean canStart(Instant now) {
        return !shuttingDown && lease.isValid(now);
    }

    private Admission grant(TeamPermits t, Instant now) {
        t.recordStart(now);
        return new Admission.Admitted(new Permit(t.team(), lease.holder(), nextPermitNumber++));
    }

    private Admission denyOrDefer(TeamPermits t, Instant now) {
        boolean reachable = consecutiveFailures == 0 && !shuttingDown;
        if (reachable && t.mayHaveFreePermits(now)) {
            return new Admission.Pending(PENDING_WAIT);
        }
        return new Admission.Refused(settings.pollInterval());
    }

    /**
     * Returns whether a request may be sent now; to be called just before its first byte is sent.
     */
    public boolean maySend(Permit permit, Instant now) {
        return permit.holder().equals(lease.holder())
                && lease.isValid(now)
                && teams.get(permit.team()).maySend();
    }

    /** Releases a permit; to be called exactly once for each permit. */
    public void release(Permit permit, RunStatus status, Instant now) {
        if (status == RunStatus.ENDED) {
            returnPermit(permit, now);
        } else {
            delayedReturns.add(permit, now.plus(settings.maxRunTime()));
        }
    }

    private void returnPermit(Permit permit, Instant now) {
        if (permit.holder().equals(lease.holder())) {
            teams.get(permit.team()).recordEnd(now);
        }
    }

    /** Returns whether all permits were returned after {@link LimitEvent.ShutdownStarted}. */
    public boolean isShutdownComplete() {
        return shutdownComplete;
    }

    /** Returns the current holder name. */
    public String holder() {
        return lease.holder();
    }

    /** Returns whether the lease has not expired. */
    public boolean isLeaseValid(Instant now) {
        return lease.isValid(now);
    }

    /** Returns the permits of a team that this process holds by the last known table row. */
    public int granted(String team) {
        TeamPermits t = teams.get(team);
        return t == null ? 0 : t.granted();
    }

    /** Returns the requests of a team that run, or may still run, under permits of this process. */
    public int running(String team) {
        TeamPermits t = teams.get(team);
        return t == null ? 0 : t.running();
    }

    /** Returns the limit of a team as known to this process. */
    public int limit(String team) {
        TeamPermits t = teams.get(team);
        return t == null ? 0 : t.limit();
    }

    /** Handles an event and returns the actions to carry out. */
    public List<LimitAction> handle(LimitEvent event, Instant now) {
        return switch (event) {
            case LimitEvent.Tick e -> handleTick(now);
            case LimitEvent.LimitsAdopted e -> handleLimitsAdopted(e, now);
            case LimitEvent.LeasesRead e -> handleLeasesRead(e, now);
            case LimitEvent.RowsRead e -> handleRowsRead(e, now);
            case LimitEvent.Committed e -> handleCommitted(now);
            case LimitEvent.Conflicted e -> handleConflicted(now);
            case LimitEvent.RequestFailed e -> handleRequestFailed(now);
            case LimitEvent.ShutdownStarted e -> handleShutdownStarted(now);
        };
    }

    private List<LimitAction> handleTick(Instant now) {
        delayedReturns.takeDue(now).forEach(p -> returnPermit(p, now));
        return nextActions(now);
    }

    private List<LimitAction> handleShutdownStarted(Instant now) {
        shuttingDown = true;
        return nextActions(now);
    }

    private List<LimitAction> handleLimitsAdopted(LimitEvent.LimitsAdopted e, Instant now) {
        if (e.version() <= limitVersion) {
            return nextActions(now);
        }
        limitVersion = e.version();
        new TreeSet<>(e.limits().keySet()).forEach(this::addTeam);
        for (TeamPermits t : teamOrder) {
            t.adoptLimit(e.version(), e.limits().getOrDefault(t.team(), 0), now);
        }
        return nextActions(now);
    }

    private void addTeam(String name) {
        if (!teams.containsKey(name)) {
            TeamPermits t = new TeamPermits(name, settings);
            teams.put(name, t);
            teamOrder.add(t);
        }
    }

    private List<LimitAction> nextActions(Instant now) {
        return switch (operation) {
            case Reading r -> List.of();
            case Committing c -> c.resendAt().isPresent() ? resend(c, now) : List.of();
            case NoOperation none -> startOperation(now);
        };
    }

    private List<LimitAction> resend(Committing c, Instant now) {
        if (now.isBefore(c.resendAt().orElseThrow())) {
            return List.of();
        }
        operation = new Committing(c.commit(), Optional.empty());
        return List.of(new Commit(c.commit()));
    }

    private List<LimitAction> startOperation(Instant now) {
        if (shutdownComplete || now.isBefore(nextRequestAt)) {
            return List.of();
        }
        if (lease.isLeaseReadDue(now)) {
            operation = new Reading();
            return List.of(new ReadLeases());
        }
        List<String> due = dueTeams(now);
        boolean leaseWriteDue =
                lease.isRenewalDue(now) || !lease.reclaimableLeases(now).isEmpty() || shuttingDown;
        if (due.isEmpty() && !leaseWriteDue) {
            return List.of();
        }
        operation = new Reading();
        return List.of(new ReadRows(due));
    }

    private List<String> dueTeams(Instant now) {
        List<String> due = new ArrayList<>();
        int start = nextTeamIndex;
        for (int i = 0; i < teamOrder.size() && due.size() < batchSize; i++) {
            int index = (start + i) % teamOrder.size();
            TeamPermits t = teamOrder.get(index);
            if (t.isReadDue(idleReserve(t), shuttingDown, now)) {
                due.add(t.team());
                nextTeamIndex = (index + 1) % teamOrder.size();
            }
        }
        return due;
    }

    private int idleReserve(TeamPermits t) {
        return t.limit() * settings.reservePercent() / 100 / lease.holderCount();
    }

    private List<LimitAction> handleLeasesRead(LimitEvent.LeasesRead e, Instant now) {
        lease.updateLeases(e.leases(), now);
        requestCompleted(now);
        // The rows are read right after the leases, without the spacing between requests.
        nextRequestAt = now;
        return nextActions(now);
    }

    private List<LimitAction> handleRowsRead(LimitEvent.RowsRead e, Instant now) {
        if (lease.isLeaseLost(e.ownLease())) {
            lease.startNewRun();
            teamOrder.forEach(TeamPermits::leaseLost);
            requestCompleted(now);
            return nextActions(now);
        }
        e.rows().forEach((n, r) -> teams.get(n).rowRead(r.value(), lease.holder(), now));
        e.rows()
                .keySet()
                .forEach(n -> teams.get(n).delayReadUntil(now.plus(jitteredPollInterval())));
        Optional<LimitTransaction> commit = planTransaction(e, now);
        if (commit.isEmpty()) {
            requestCompleted(now);
            return nextActions(now);
        }
        operation = new Committing(commit.get(), Optional.empty());
        for (TeamRowWrite w : commit.get().rows()) {
            teams.get(w.team()).writeStarted(w.row().permitsHeldBy(lease.holder()));
        }
        return List.of(new Commit(commit.get()));
    }

    private Duration jitteredPollInterval() {
        return settings.pollInterval().multipliedBy(50 + random.nextInt(100)).dividedBy(100);
    }

    private Optional<LimitTransaction> planTransaction(LimitEvent.RowsRead e, Instant now) {
        List<TeamRowWrite> rows = new ArrayList<>();
        Set<String> expiredHolders = new TreeSet<>();
        e.rows().forEach((n, r) -> planRow(teams.get(n), r, rows, expiredHolders, now));
        boolean isFinalWrite = shuttingDown && holdsNothing();
        Map<String, LeaseWrite> leases = new LinkedHashMap<>();
        for (String h : expiredHolders) {
            leases.put(h, new LeaseWrite(h, 0, LeaseChange.CHECK_ONLY, Optional.empty()));
        }
        if (!shuttingDown) {
            lease.reclaimableLeases(now).forEach(w -> leases.putIfAbsent(w.holder(), w));
        }
        LeaseWrite ownWrite = lease.ownLeaseWrite(e.ownLease(), isFinalWrite, now);
        if (rows.isEmpty() && leases.isEmpty() && ownWrite.change() == LeaseChange.CHECK_ONLY) {
            return Optional.empty();
        }
        if (isFinalWrite && e.ownLease().isEmpty()) {
            shutdownComplete = true;
            return Optional.empty();
        }
        leases.put(ownWrite.holder(), ownWrite);
        String token = lease.holder() + "/" + nextTokenNumber++;
        return Optional.of(new LimitTransaction(token, rows, List.copyOf(leases.values())));
    }

    private boolean holdsNothing() {
        return teamOrder.stream().allMatch(t -> t.granted() == 0 && t.running() == 0);
    }

    private void planRow(
            TeamPermits t,
            Versioned<TeamRow> read,
            Collection<TeamRowWrite> rows,
            Set<String> expiredHolders,
            Instant now) {
        Set<String> withoutLease = lease.holdersWithoutLease(read.value());
        TeamRow leased =
                read.value().withoutHolders(withoutLease).withLimit(limitVersion, t.limit());
        t.updateCap(leased, lease.holder(), now);
        PermitHolding holding = t.planHolding(leased, idleReserve(t), shuttingDown, now);
        TeamRow planned = leased.withHolding(lease.holder(), holding);
        if (t.isWorthWriting(read.value(), planned, lease.holder())) {
            rows.add(new TeamRowWrite(t.team(), read.version(), planned));
            expiredHolders.addAll(withoutLease);
        }
    }

    private List<LimitAction> handleCommitted(Instant now) {
        if (operation instanceof Committing c) {
            lease.ownLeaseCommitted();
            for (TeamRowWrite w : c.commit().rows()) {
                teams.get(w.team()).writeCommitted(w.row(), lease.holder(), now);
            }
            for (LeaseWrite w : c.commit().leases()) {
                if (w.change() == LeaseChange.DELETE) {
                    shutdownComplete |= w.holder().equals(lease.holder());
                    lease.removeLease(w.holder());
                }
            }
            batchSize = Math.min(settings.batch(), batchSize * 2);
            requestCompleted(now);
        }
        return nextActions(now);
    }

    private List<LimitAction> handleConflicted(Instant now) {
        if (operation instanceof Committing c) {
            for (TeamRowWrite w : c.commit().rows()) {
                teams.get(w.team()).delayReadUntil(now);
            }
            if (c.commit().leases().size() > 1) {
                lease.requireLeaseRead();
            }
            batchSize = Math.max(1, batchSize / 2);
            requestCompleted(now);
            nextRequestAt =
                    now.plus(
                            settings.minRequestSpacing()
                                    .multipliedBy(random.nextInt(50))
                                    .dividedBy(100));
        }
        return nextActions(now);
    }

    private void requestCompleted(Instant now) {
        operation = new NoOperation();
        consecutiveFailures = 0;
        nextRequestAt = now.plus(settings.minRequestSpacing());
    }

    private List<LimitAction> handleRequestFailed(Instant now) {
        consecutiveFailures++;
        Duration maxWait =
                settings.minRequestSpacing().multipliedBy(1L << Math.min(consecutiveFailures, 10));
        if (maxWait.compareTo(MAX_BACKOFF) > 0) {
            maxWait = MAX_BACKOFF;
        }
        Duration wait = Duration.ofMillis(1 + random.nextLong(Math.max(1, maxWait.toMillis())));
        if (operation instanceof Committing c) {
            operation = new Committing(c.commit(), Optional.of(now.plus(wait)));
        } else {
            operation = new NoOperation();
            nextRequestAt = now.plus(wait);
        }
        return nextActions(now);
    }

    private sealed interface Operation {}

    private record NoOperation() implements Operation {}

    private record Reading() implements Operation {}

    private record Committing(LimitTransaction commit, Optional<Instant> resendAt)
            implements Operation {}
}
