package org.chervillift.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.chervillift.core.limits.LimitTransaction.LeaseChange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TeamLimiterTest {

    private static final LimitSettings SETTINGS = LimitSettings.DEFAULT;
    private static final String TEAM = "team";

    private final Map<String, Versioned<HolderLease>> leases = new HashMap<>();
    private Versioned<TeamRow> row = new Versioned<>(0, TeamRow.EMPTY);
    private long versions;
    private Instant now = Instant.ofEpochSecond(1_000_000);

    @Test
    void grantsNoPermitAfterALostReplyUntilTheWriteIsConfirmed() {
        TeamLimiter limiter = limiter("a");
        adoptLimit(limiter, 1, 4);
        runTicks(limiter, 20);
        assertThat(limiter.admit(TEAM, now)).isNotInstanceOf(Admission.Refused.class);
        LimitAction commit = stepUntilCommit(limiter);
        apply(((LimitAction.Commit) commit).commit());
        limiter.handle(new LimitEvent.RequestFailed(), now);

        assertThat(row.value().totalHeld()).isPositive();
        assertThat(limiter.retryAdmission(TEAM, now)).isNotInstanceOf(Admission.Admitted.class);

        now = now.plusSeconds(10);
        LimitAction resent = limiter.handle(new LimitEvent.Tick(), now).getFirst();
        assertThat(resent).isEqualTo(commit);
        limiter.handle(new LimitEvent.Committed(), now);
        assertThat(limiter.retryAdmission(TEAM, now)).isInstanceOf(Admission.Admitted.class);
    }

    @Test
    void doesNotSendWithAPermitAfterTheLeaseExpiredDuringAPause() {
        TeamLimiter limiter = limiter("a");
        adoptLimit(limiter, 1, 4);
        Permit permit = obtain(limiter);
        assertThat(limiter.maySend(permit, now)).isTrue();

        Instant woken = now.plus(SETTINGS.leaseDuration());
        assertThat(limiter.maySend(permit, woken)).isFalse();
        assertThat(limiter.admit(TEAM, woken)).isNotInstanceOf(Admission.Admitted.class);
    }

    @Test
    void reclaimsPermitsOfADeadHolderOnlyAfterTheReclaimDelay() {
        TeamLimiter dead = limiter("dead");
        adoptLimit(dead, 1, 1);
        obtain(dead);
        Instant reclaimableAt =
                leases.get(dead.holder()).value().expiresAt().plus(SETTINGS.reclaimDelay());
        TeamLimiter living = limiter("b");
        adoptLimit(living, 1, 1);

        while (now.isBefore(reclaimableAt)) {
            living.admit(TEAM, now);
            runTicks(living, 1);
            assertThat(living.granted(TEAM)).isZero();
            now = now.plusSeconds(20);
        }
        runTicks(living, 1_000);
        obtain(living);
        assertThat(living.running(TEAM)).isEqualTo(1);
    }

    @Test
    void restartedProcessWaitsOnlyForTheMaxRunTime() {
        TeamLimiter killed = limiter("a");
        adoptLimit(killed, 1, 1);
        obtain(killed);
        Instant restarted = now;
        TeamLimiter successor = limiter("a");
        adoptLimit(successor, 1, 1);

        while (!now.isAfter(restarted.plus(SETTINGS.maxRunTime()))) {
            successor.admit(TEAM, now);
            runTicks(successor, 1);
            assertThat(successor.granted(TEAM)).isZero();
        }
        runTicks(successor, 1_000);
        obtain(successor);
        assertThat(successor.running(TEAM)).isEqualTo(1);
    }

    @Test
    void startsNothingUnderALoweredLimitUntilAllPermitsFit() {
        TeamLimiter first = limiter("a");
        TeamLimiter second = limiter("b");
        adoptLimit(first, 1, 10);
        adoptLimit(second, 1, 10);
        List<Permit> running = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            running.add(obtain(first));
        }
        obtain(second);

        adoptLimit(first, 2, 3);
        adoptLimit(second, 2, 3);
        assertThat(second.admit(TEAM, now)).isNotInstanceOf(Admission.Admitted.class);
        runTicks(first, 100);
        runTicks(second, 100);
        assertThat(second.admit(TEAM, now)).isNotInstanceOf(Admission.Admitted.class);

        running.forEach(p -> first.release(p, RunStatus.ENDED, now));
        runTicks(first, 200);
        runTicks(second, 200);
        obtain(second);
        assertThat(first.running(TEAM) + second.running(TEAM)).isLessThanOrEqualTo(3);
    }

    @Test
    void keepsThePermitOfAPossiblyRunningRequestForTheMaxRunTime() {
        TeamLimiter limiter = limiter("a");
        adoptLimit(limiter, 1, 1);
        limiter.release(obtain(limiter), RunStatus.POSSIBLY_RUNNING, now);
        Instant bound = now.plus(SETTINGS.maxRunTime());

        while (now.plusMillis(50).isBefore(bound)) {
            runTicks(limiter, 1);
            assertThat(limiter.running(TEAM)).isEqualTo(1);
        }
        runTicks(limiter, 5);
        assertThat(limiter.running(TEAM)).isZero();
    }

    @Test
    void shutdownReturnsAllPermitsAndDeletesTheLease() {
        TeamLimiter limiter = limiter("a");
        adoptLimit(limiter, 1, 100);
        Permit permit = obtain(limiter);
        limiter.handle(new LimitEvent.ShutdownStarted(), now);
        runTicks(limiter, 40);
        assertThat(row.value().totalHeld()).isEqualTo(1);
        assertThat(limiter.isShutdownComplete()).isFalse();

        limiter.release(permit, RunStatus.ENDED, now);
        runTicks(limiter, 40);
        assertThat(row.value().totalHeld()).isZero();
        assertThat(limiter.isShutdownComplete()).isTrue();
        assertThat(leases).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void twoProcessesThatStartTogetherGetPermitsWithinThePendingWait(long seed) {
        List<TeamLimiter> both =
                List.of(limiter("a", new Random(seed)), limiter("b", new Random(seed + 100)));
        Map<TeamLimiter, List<LimitAction>> open = new HashMap<>();
        for (TeamLimiter a : both) {
            LimitEvent limits = new LimitEvent.LimitsAdopted(1, Map.of(TEAM, 50));
            open.put(a, a.handle(limits, now));
        }
        Admission first = both.getFirst().admit(TEAM, now);
        assertThat(first).isInstanceOf(Admission.Pending.class);
        Instant until = now.plus(((Admission.Pending) first).within());

        while (now.isBefore(until)) {
            answerAlternately(both, open);
            now = now.plusMillis(50);
            both.forEach(a -> open.put(a, a.handle(new LimitEvent.Tick(), now)));
        }

        for (TeamLimiter a : both) {
            assertThat(a.retryAdmission(TEAM, now)).isInstanceOf(Admission.Admitted.class);
        }
    }

    /** Answers one action of each limiter at a time, so that each reads before the other writes. */
    private void answerAlternately(
            List<TeamLimiter> limiters, Map<TeamLimiter, List<LimitAction>> open) {
        while (open.values().stream().anyMatch(a -> !a.isEmpty())) {
            for (TeamLimiter a : limiters) {
                if (!open.get(a).isEmpty()) {
                    open.put(a, a.handle(answer(a, open.get(a).getFirst()), now));
                }
            }
        }
    }

    private TeamLimiter limiter(String vm) {
        return limiter(vm, new Random(7));
    }

    private TeamLimiter limiter(String vm, Random random) {
        String incarnation = "i" + versions++;
        return new TeamLimiter(vm, "dc", incarnation, SETTINGS, random, now);
    }

    private void adoptLimit(TeamLimiter limiter, long version, int limit) {
        answerAll(
                limiter,
                limiter.handle(new LimitEvent.LimitsAdopted(version, Map.of(TEAM, limit)), now));
    }

    private Permit obtain(TeamLimiter limiter) {
        for (int i = 0; i < 100; i++) {
            if (limiter.admit(TEAM, now) instanceof Admission.Admitted a) {
                return a.permit();
            }
            runTicks(limiter, 5);
        }
        throw new AssertionError("no permit");
    }

    private void runTicks(TeamLimiter limiter, int ticks) {
        for (int i = 0; i < ticks; i++) {
            now = now.plus(Duration.ofMillis(50));
            answerAll(limiter, limiter.handle(new LimitEvent.Tick(), now));
        }
    }

    private LimitAction stepUntilCommit(TeamLimiter limiter) {
        for (int i = 0; i < 100; i++) {
            now = now.plus(Duration.ofMillis(50));
            List<LimitAction> actions = limiter.handle(new LimitEvent.Tick(), now);
            while (!actions.isEmpty()) {
                if (actions.getFirst() instanceof LimitAction.Commit c) {
                    return c;
                }
                actions = limiter.handle(answer(limiter, actions.getFirst()), now);
            }
        }
        throw new AssertionError("no commit");
    }

    private void answerAll(TeamLimiter limiter, List<LimitAction> actions) {
        List<LimitAction> open = actions;
        while (!open.isEmpty()) {
            open = limiter.handle(answer(limiter, open.getFirst()), now);
        }
    }

    private LimitEvent answer(TeamLimiter limiter, LimitAction action) {
        return switch (action) {
            case LimitAction.ReadLeases r ->
                    new LimitEvent.LeasesRead(List.copyOf(leases.values()));
            case LimitAction.ReadRows r -> {
                Map<String, Versioned<TeamRow>> rows = new TreeMap<>();
                r.teams().forEach(t -> rows.put(t, row));
                yield new LimitEvent.RowsRead(
                        Optional.ofNullable(leases.get(limiter.holder())), rows);
            }
            case LimitAction.Commit c ->
                    apply(c.commit()) ? new LimitEvent.Committed() : new LimitEvent.Conflicted();
        };
    }

    private boolean apply(LimitTransaction commit) {
        boolean holds =
                commit.rows().stream().allMatch(w -> w.version() == row.version())
                        && commit.leases().stream()
                                .allMatch(w -> w.version() == leaseVersion(w.holder()));
        if (!holds) {
            return false;
        }
        commit.rows().forEach(w -> row = new Versioned<>(++versions, w.row()));
        for (LimitTransaction.LeaseWrite w : commit.leases()) {
            if (w.change() == LeaseChange.DELETE) {
                leases.remove(w.holder());
            }
            w.lease().ifPresent(l -> leases.put(l.holder(), new Versioned<>(++versions, l)));
        }
        return true;
    }

    private long leaseVersion(String holder) {
        return leases.containsKey(holder) ? leases.get(holder).version() : 0;
    }
}
