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
    void aReplyLostAfterTheWriteGivesNoPermitUntilTheWriteIsConfirmed() {
        TeamLimiter agent = agent("a");
        adopt(agent, 1, 4);
        run(agent, 20);
        assertThat(agent.admit(TEAM, now)).isNotInstanceOf(Admission.Refused.class);
        LimitAction commit = stepUntilCommit(agent);
        apply(((LimitAction.Commit) commit).commit());
        agent.handle(new LimitEvent.RequestFailed(), now);

        assertThat(row.value().totalHeld()).isPositive();
        assertThat(agent.retryAdmission(TEAM, now)).isNotInstanceOf(Admission.Admitted.class);

        now = now.plusSeconds(10);
        LimitAction again = agent.handle(new LimitEvent.Tick(), now).getFirst();
        assertThat(again).isEqualTo(commit);
        agent.handle(new LimitEvent.Committed(), now);
        assertThat(agent.retryAdmission(TEAM, now)).isInstanceOf(Admission.Admitted.class);
    }

    @Test
    void aPermitFromBeforeAPauseIsNotSentAfterTheLease() {
        TeamLimiter agent = agent("a");
        adopt(agent, 1, 4);
        Permit permit = obtain(agent);
        assertThat(agent.maySend(permit, now)).isTrue();

        Instant woken = now.plus(SETTINGS.leaseDuration());
        assertThat(agent.maySend(permit, woken)).isFalse();
        assertThat(agent.admit(TEAM, woken)).isNotInstanceOf(Admission.Admitted.class);
    }

    @Test
    void permitsOfTheDeadAreReclaimedOnlyAfterTheWholeBound() {
        TeamLimiter dead = agent("dead");
        adopt(dead, 1, 1);
        obtain(dead);
        Instant over = leases.get(dead.holder()).value().expiresAt().plus(SETTINGS.reclaimDelay());
        TeamLimiter living = agent("b");
        adopt(living, 1, 1);

        while (now.isBefore(over)) {
            living.admit(TEAM, now);
            run(living, 1);
            assertThat(living.granted(TEAM)).isZero();
            now = now.plusSeconds(20);
        }
        run(living, 1_000);
        obtain(living);
        assertThat(living.running(TEAM)).isEqualTo(1);
    }

    @Test
    void aRestartInPlaceWaitsOnlyForWorkThatMayStillRun() {
        TeamLimiter killed = agent("a");
        adopt(killed, 1, 1);
        obtain(killed);
        Instant restarted = now;
        TeamLimiter successor = agent("a");
        adopt(successor, 1, 1);

        while (!now.isAfter(restarted.plus(SETTINGS.maxRunTime()))) {
            successor.admit(TEAM, now);
            run(successor, 1);
            assertThat(successor.granted(TEAM)).isZero();
        }
        run(successor, 1_000);
        obtain(successor);
        assertThat(successor.running(TEAM)).isEqualTo(1);
    }

    @Test
    void nothingStartsUnderALoweredLimitUntilAllPermitsFit() {
        TeamLimiter first = agent("a");
        TeamLimiter second = agent("b");
        adopt(first, 1, 10);
        adopt(second, 1, 10);
        List<Permit> running = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            running.add(obtain(first));
        }
        obtain(second);

        adopt(first, 2, 3);
        adopt(second, 2, 3);
        assertThat(second.admit(TEAM, now)).isNotInstanceOf(Admission.Admitted.class);
        run(first, 100);
        run(second, 100);
        assertThat(second.admit(TEAM, now)).isNotInstanceOf(Admission.Admitted.class);

        running.forEach(p -> first.release(p, RunStatus.ENDED, now));
        run(first, 200);
        run(second, 200);
        obtain(second);
        assertThat(first.running(TEAM) + second.running(TEAM)).isLessThanOrEqualTo(3);
    }

    @Test
    void anUnknownEndHoldsThePermitForTheHardBound() {
        TeamLimiter agent = agent("a");
        adopt(agent, 1, 1);
        agent.release(obtain(agent), RunStatus.POSSIBLY_RUNNING, now);
        Instant bound = now.plus(SETTINGS.maxRunTime());

        while (now.plusMillis(50).isBefore(bound)) {
            run(agent, 1);
            assertThat(agent.running(TEAM)).isEqualTo(1);
        }
        run(agent, 5);
        assertThat(agent.running(TEAM)).isZero();
    }

    @Test
    void aGracefulStopGivesAllBackAndLeavesNoLease() {
        TeamLimiter agent = agent("a");
        adopt(agent, 1, 100);
        Permit permit = obtain(agent);
        agent.handle(new LimitEvent.ShutdownStarted(), now);
        run(agent, 40);
        assertThat(row.value().totalHeld()).isEqualTo(1);
        assertThat(agent.isShutdownComplete()).isFalse();

        agent.release(permit, RunStatus.ENDED, now);
        run(agent, 40);
        assertThat(row.value().totalHeld()).isZero();
        assertThat(agent.isShutdownComplete()).isTrue();
        assertThat(leases).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void twoThatStartTogetherHavePermitsWithinTheWaitOfARequest(long seed) {
        List<TeamLimiter> both =
                List.of(agent("a", new Random(seed)), agent("b", new Random(seed + 100)));
        Map<TeamLimiter, List<LimitAction>> open = new HashMap<>();
        for (TeamLimiter a : both) {
            LimitEvent limits = new LimitEvent.LimitsAdopted(1, Map.of(TEAM, 50));
            open.put(a, a.handle(limits, now));
        }
        Admission first = both.getFirst().admit(TEAM, now);
        assertThat(first).isInstanceOf(Admission.Pending.class);
        Instant until = now.plus(((Admission.Pending) first).within());

        while (now.isBefore(until)) {
            answerInTurns(both, open);
            now = now.plusMillis(50);
            both.forEach(a -> open.put(a, a.handle(new LimitEvent.Tick(), now)));
        }

        for (TeamLimiter a : both) {
            assertThat(a.retryAdmission(TEAM, now)).isInstanceOf(Admission.Admitted.class);
        }
    }

    /** Answers one action of each agent at a time, so that each reads before the other writes. */
    private void answerInTurns(List<TeamLimiter> agents, Map<TeamLimiter, List<LimitAction>> open) {
        while (open.values().stream().anyMatch(a -> !a.isEmpty())) {
            for (TeamLimiter a : agents) {
                if (!open.get(a).isEmpty()) {
                    open.put(a, a.handle(answer(a, open.get(a).getFirst()), now));
                }
            }
        }
    }

    private TeamLimiter agent(String vm) {
        return agent(vm, new Random(7));
    }

    private TeamLimiter agent(String vm, Random random) {
        String incarnation = "i" + versions++;
        return new TeamLimiter(vm, "dc", incarnation, SETTINGS, random, now);
    }

    private void adopt(TeamLimiter agent, long version, int limit) {
        answerAll(
                agent,
                agent.handle(new LimitEvent.LimitsAdopted(version, Map.of(TEAM, limit)), now));
    }

    private Permit obtain(TeamLimiter agent) {
        for (int i = 0; i < 100; i++) {
            if (agent.admit(TEAM, now) instanceof Admission.Admitted a) {
                return a.permit();
            }
            run(agent, 5);
        }
        throw new AssertionError("no permit");
    }

    private void run(TeamLimiter agent, int ticks) {
        for (int i = 0; i < ticks; i++) {
            now = now.plus(Duration.ofMillis(50));
            answerAll(agent, agent.handle(new LimitEvent.Tick(), now));
        }
    }

    private LimitAction stepUntilCommit(TeamLimiter agent) {
        for (int i = 0; i < 100; i++) {
            now = now.plus(Duration.ofMillis(50));
            List<LimitAction> actions = agent.handle(new LimitEvent.Tick(), now);
            while (!actions.isEmpty()) {
                if (actions.getFirst() instanceof LimitAction.Commit c) {
                    return c;
                }
                actions = agent.handle(answer(agent, actions.getFirst()), now);
            }
        }
        throw new AssertionError("no commit");
    }

    private void answerAll(TeamLimiter agent, List<LimitAction> actions) {
        List<LimitAction> open = actions;
        while (!open.isEmpty()) {
            open = agent.handle(answer(agent, open.getFirst()), now);
        }
    }

    private LimitEvent answer(TeamLimiter agent, LimitAction action) {
        return switch (action) {
            case LimitAction.ReadLeases r ->
                    new LimitEvent.LeasesRead(List.copyOf(leases.values()));
            case LimitAction.ReadRows r -> {
                Map<String, Versioned<TeamRow>> rows = new TreeMap<>();
                r.teams().forEach(t -> rows.put(t, row));
                yield new LimitEvent.RowsRead(
                        Optional.ofNullable(leases.get(agent.holder())), rows);
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
