package org.chervillift.bench.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.bench.internal.ConditionBrokenException;
import org.chervillift.core.limits.Admission;
import org.chervillift.core.limits.LimitAction;
import org.chervillift.core.limits.LimitEvent;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.core.limits.RunStatus;
import org.chervillift.core.limits.TeamLimiter;
import org.chervillift.runtime.supervision.ManualScheduler;

/**
 * Measures permits in virtual time: what a skewed balancer leaves usable, and what moving costs.
 *
 * <p>The baseline divides each limit into equal parts, one an entry VM.
 */
public final class LimitBenchmark implements Benchmark {

    private static final int SMALL_VMS = 8;
    private static final int TODAY_TEAMS = 6;
    private static final int TODAY_LIMIT = 40;
    private static final int PLANNED_VMS = 48;
    private static final int PLANNED_TEAMS = 170;
    private static final int PLANNED_LIMIT = 24;
    private static final int MOST_WRITES_PER_SECOND = 300;
    private static final int MOST_BYTES_PER_SECOND = 8_192;
    private static final int ADMISSIONS = 2_000_000;
    private static final Duration SKEWED_TIME = Duration.ofMinutes(3);
    private static final Duration RAMP = Duration.ofSeconds(40);
    private static final Duration HALF_TIME = Duration.ofMinutes(1);
    private static final double PERCENT = 100;

    @Override
    public String name() {
        return "limits";
    }

    @Override
    public String summary() {
        return "Upper limits: part usable under a skewed balancer, cost of moving permits.";
    }

    @Override
    public void run(BenchContext context) {
        try {
            for (int limit : new int[] {1, 4, 40, 400}) {
                skewed(context, limit);
            }
            admissions(context);
            half(context, "today", SMALL_VMS, TODAY_TEAMS, TODAY_LIMIT);
            half(context, "planned", PLANNED_VMS, PLANNED_TEAMS, PLANNED_LIMIT);
        } catch (InvariantBrokenException e) {
            throw new ConditionBrokenException(e.getMessage(), context.seed());
        }
    }

    private static void skewed(BenchContext context, int limit) {
        LoadRun run = new LoadRun(context.seed(), SMALL_VMS, Map.of("team", limit));
        run.advance(Duration.ofSeconds(30), limit * 4);
        run.resetCounts();
        run.advance(SKEWED_TIME, limit * 4);
        String name = "limit_" + limit + "_skew_80";
        context.figure(name + "_usable", PERCENT * run.inUse() / limit, "percent");
        context.figure(
                name + "_usable_equal_parts", PERCENT * run.equalPartsInUse() / limit, "percent");
        context.figure(name + "_writes_per_start", run.writesPerStart(), "writes");
        context.figure(name + "_most_running", run.mostRunning(), "requests");
    }

    /** Offers each team half of its limit. */
    private static void half(BenchContext context, String size, int vms, int teams, int limit) {
        LoadRun run = new LoadRun(context.seed(), vms, limits(teams, limit));
        int concurrency = teams * limit / 2;
        run.advance(RAMP, concurrency);
        run.resetCounts();
        run.advance(HALF_TIME, concurrency);
        context.figure(size + "_starts_per_second", run.startsPerSecond(), "starts/s");
        context.figure(size + "_refused_at_half_load", PERCENT * run.refusedPart(), "percent");
        context.figure(size + "_writes_per_second", run.writesPerSecond(), "writes/s");
        context.figure(size + "_conflicts_per_second", run.conflictsPerSecond(), "conflicts/s");
        context.figure(size + "_reads_per_second", run.readsPerSecond(), "reads/s");
        context.figure(size + "_writes_per_start", run.writesPerStart(), "writes");
        double bytes = run.bytesPerSecondAndVm();
        context.figure(size + "_bytes_per_second_and_vm", bytes, "B/s");
        require(run.writesPerSecond() <= MOST_WRITES_PER_SECOND, size + ": writes", context);
        require(bytes <= MOST_BYTES_PER_SECOND, size + ": bytes a second and VM", context);
    }

    private static Map<String, Integer> limits(int teams, int limit) {
        Map<String, Integer> limits = new TreeMap<>();
        for (int i = 0; i < teams; i++) {
            limits.put("team%03d".formatted(i), limit);
        }
        return limits;
    }

    private static void require(boolean holds, String what, BenchContext context) {
        if (!holds) {
            throw new ConditionBrokenException(what, context.seed());
        }
    }

    /** One admission, last check and end, with the permits of 170 teams at hand. */
    private static void admissions(BenchContext context) {
        ManualScheduler scheduler = new ManualScheduler();
        FakeTable table = new FakeTable();
        TeamLimiter agent = filled(scheduler, table, context.seed());
        List<String> teams = new ArrayList<>();
        for (int i = 0; i < PLANNED_TEAMS; i++) {
            teams.add("team%03d".formatted(i));
        }
        admit(agent, teams, scheduler);
        long start = System.nanoTime();
        long admitted = admit(agent, teams, scheduler);
        double nanos = (System.nanoTime() - start) / (double) ADMISSIONS;
        context.figure("admission_check_end", nanos, "ns");
        context.figure("admission_admitted", PERCENT * admitted / ADMISSIONS, "percent");
    }

    private static long admit(TeamLimiter agent, List<String> teams, ManualScheduler scheduler) {
        long admitted = 0;
        for (int i = 0; i < ADMISSIONS; i++) {
            String team = teams.get(i % teams.size());
            if (agent.admit(team, scheduler.now()) instanceof Admission.Admitted a) {
                admitted += agent.maySend(a.permit(), scheduler.now()) ? 1 : 0;
                agent.release(a.permit(), RunStatus.ENDED, scheduler.now());
            }
        }
        return admitted;
    }

    private static TeamLimiter filled(ManualScheduler scheduler, FakeTable table, long seed) {
        TeamLimiter agent =
                new TeamLimiter(
                        "vm", "a", "i", LimitSettings.DEFAULT, new Random(seed), scheduler.now());
        Map<String, Integer> limits = limits(PLANNED_TEAMS, PLANNED_LIMIT * 10);
        answer(agent, table, scheduler, new LimitEvent.LimitsAdopted(1, limits));
        for (int i = 0; i < 1_000; i++) {
            scheduler.advance(Duration.ofMillis(50));
            answer(agent, table, scheduler, new LimitEvent.Tick());
        }
        return agent;
    }

    private static void answer(
            TeamLimiter agent, FakeTable table, ManualScheduler scheduler, LimitEvent first) {
        List<LimitAction> open = agent.handle(first, scheduler.now());
        while (!open.isEmpty()) {
            LimitEvent event = table.carryOut(open.getFirst(), agent.holder());
            open = agent.handle(event, scheduler.now());
        }
    }
}
