package org.chervillift.bench.surge;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.chervillift.core.retry.RetryBudget;
import org.chervillift.core.retry.RetryPolicy;
import org.chervillift.core.routing.EntryVm;
import org.chervillift.core.routing.Router;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.core.routing.RoutingSettings;
import org.chervillift.core.routing.Upstream;
import org.chervillift.core.routing.UpstreamResult;
import org.chervillift.runtime.supervision.ManualScheduler;

/**
 * One queue asks for five times its mean, which fills half of its pool, while a third of the
 * upstreams takes no connection any more.
 *
 * <p>The callers of both ways are the same: each asks again once after a refusal, as it was told.
 */
public final class SurgeRun {

    private static final String POOL = "pool";
    private static final int UPSTREAMS = 35;
    private static final int GONE_OF = 3;
    private static final int SLOTS = 8;
    private static final int MEAN_RUN_MILLIS = 200;
    private static final double SURGE_LOAD = 2.5;
    private static final Duration SURGE = Duration.ofSeconds(60);
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int BASELINE_TRIES = 4;
    private static final int MOST_AFTER_SECONDS = 3;
    private static final double PERCENTILE = 99;
    private static final double MICROS_PER_MILLI = 1e3;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final Random random;
    private final boolean ours;
    private final Router router = new Router(RoutingSettings.DEFAULT, "entry", "dc");
    private final RetryBudget budget = new RetryBudget(0.1, 20);
    private final List<SurgeUpstream> upstreams = new ArrayList<>();
    private final Histogram answered = new Histogram(3);
    private final Histogram givenUp = new Histogram(3);
    private Instant end;
    private double usefulMillis;

    private SurgeRun(long seed, boolean ours) {
        this.random = new Random(seed);
        this.ours = ours;
        List<Upstream> listed = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new SurgeUpstream(scheduler, SLOTS, i % GONE_OF != 0));
            listed.add(new Upstream("" + i, POOL, "dc", "192.0.2.1:80", SLOTS, false));
        }
        List<EntryVm> entryVms = List.of(new EntryVm("entry", "dc", "192.0.2.2:80"));
        router.update(listed, entryVms, scheduler.now(), scheduler.now());
    }

    /** Runs the policy of this system. */
    public static SurgeResult ours(long seed) {
        return new SurgeRun(seed, true).run();
    }

    /** Runs the baseline: any upstream at once, and three more tries after a timeout. */
    public static SurgeResult retryThreeTimes(long seed) {
        return new SurgeRun(seed, false).run();
    }

    private SurgeResult run() {
        end = scheduler.now().plus(SURGE);
        scheduler.schedule(Duration.ZERO, this::nextArrival);
        scheduler.advance(SURGE.plusSeconds(30));
        long living = upstreams.stream().filter(SurgeUpstream::isThere).count();
        double canRun = living * SLOTS * (double) SURGE.toMillis();
        return new SurgeResult(
                usefulMillis / canRun,
                answered.getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI,
                givenUp.getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI);
    }

    private void nextArrival() {
        if (scheduler.now().isAfter(end)) {
            return;
        }
        int work = 1 + (int) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_MILLIS);
        arrive(new Job(scheduler.now(), work, true));
        double perMilli = SURGE_LOAD * UPSTREAMS * SLOTS / MEAN_RUN_MILLIS;
        long gap = (long) (-Math.log(1 - random.nextDouble()) / perMilli * 1e6);
        scheduler.schedule(Duration.ofNanos(gap), this::nextArrival);
    }

    private void arrive(Job job) {
        if (ours) {
            budget.recordFirstAttempt();
            attempt(job, 1, new HashSet<>());
        } else {
            baseline(job, 1);
        }
    }

    private void attempt(Job job, int attempts, Set<String> tried) {
        RoutingDecision choice = router.choose(POOL, tried, random, scheduler.now());
        if (!(choice instanceof RoutingDecision.ToUpstream to)) {
            giveUp(job);
            return;
        }
        String id = to.upstream().id();
        SurgeUpstream upstream = upstreams.get(Integer.parseInt(id));
        if (upstream.isThere()) {
            upstream.run(
                    job.workMillis(),
                    () -> {
                        router.attemptEnded(
                                id, new UpstreamResult.Succeeded(), random, scheduler.now());
                        answer(job);
                    });
            return;
        }
        scheduler.schedule(
                CONNECT_TIMEOUT,
                () -> {
                    router.attemptEnded(
                            id, new UpstreamResult.Unreachable(), random, scheduler.now());
                    tried.add(id);
                    retry(job, attempts, tried);
                });
    }

    private void retry(Job job, int attempts, Set<String> tried) {
        Instant deadline = job.arrived().plus(DEADLINE);
        RetryPolicy.RetryDecision next =
                RetryPolicy.DEFAULT.afterFailure(
                        attempts, deadline, budget, random, scheduler.now());
        switch (next) {
            case RetryPolicy.Retry r ->
                    scheduler.schedule(r.delay(), () -> attempt(job, attempts + 1, tried));
            case RetryPolicy.GiveUp g -> giveUp(job);
        }
    }

    private void baseline(Job job, int tries) {
        SurgeUpstream upstream = upstreams.get(random.nextInt(UPSTREAMS));
        boolean[] over = {false};
        if (upstream.isThere()) {
            upstream.run(
                    job.workMillis(),
                    () -> {
                        if (!over[0]) {
                            over[0] = true;
                            answer(job);
                        }
                    });
        }
        Duration patience = upstream.isThere() ? DEADLINE : CONNECT_TIMEOUT;
        scheduler.schedule(
                patience,
                () -> {
                    if (!over[0]) {
                        over[0] = true;
                        if (tries < BASELINE_TRIES) {
                            baseline(job, tries + 1);
                        } else {
                            giveUp(job);
                        }
                    }
                });
    }

    /** Only an answer within the caller's deadline, and within the surge, is useful. */
    private void answer(Job job) {
        Duration took = Duration.between(job.arrived(), scheduler.now());
        if (took.compareTo(DEADLINE) <= 0 && !scheduler.now().isAfter(end)) {
            usefulMillis += job.workMillis();
            answered.recordValue(took.toNanos() / 1_000);
        }
    }

    private void giveUp(Job job) {
        Duration took = Duration.between(job.arrived(), scheduler.now());
        givenUp.recordValue(took.toNanos() / 1_000);
        if (job.asksAgain()) {
            long after = 1L + random.nextInt(MOST_AFTER_SECONDS);
            scheduler.schedule(
                    Duration.ofSeconds(after),
                    () -> arrive(new Job(scheduler.now(), job.workMillis(), false)));
        }
    }

    private record Job(Instant arrived, int workMillis, boolean asksAgain) {}
}
