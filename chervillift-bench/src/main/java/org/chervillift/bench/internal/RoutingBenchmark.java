package org.chervillift.bench.internal;

import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.chervillift.core.routing.EntryVm;
import org.chervillift.core.routing.Router;
import org.chervillift.core.routing.RoutingDecision;
import org.chervillift.core.routing.RoutingSettings;
import org.chervillift.core.routing.Upstream;
import org.chervillift.core.routing.UpstreamResult;

/** Processor time of one choice among upstreams, and of taking over a new list. */
public final class RoutingBenchmark implements Benchmark {

    private static final int UPSTREAMS = 1_200;
    private static final int POOLS = 34;
    private static final int SLOTS = 8;
    private static final int CHOICES = 2_000_000;
    private static final int LISTS = 200;
    private static final double FREE_SHARE = 0.7;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public String summary() {
        return "Processor time of one choice at 1,200 upstreams in 34 pools, free and full.";
    }

    @Override
    public void run(BenchContext context) {
        Random random = new Random(context.seed());
        Router router = new Router(RoutingSettings.DEFAULT, "entry", "dc");
        List<Upstream> upstreams = upstreams();
        List<EntryVm> entryVms = List.of(new EntryVm("entry", "dc", "192.0.2.1:80"));
        Instant now = Instant.EPOCH;
        router.update(upstreams, entryVms, now, now);
        int most = (int) (UPSTREAMS * SLOTS * FREE_SHARE);
        choices(router, random, most);
        context.figure("choice", choices(router, random, most) / NANOS_PER_MICRO, "us");
        fill(router, random);
        context.figure("choice_when_full", refusals(router, random) / NANOS_PER_MICRO, "us");
        long start = cpu();
        for (int i = 0; i < LISTS; i++) {
            router.update(upstreams, entryVms, now, now);
        }
        context.figure("new_list", (cpu() - start) / NANOS_PER_MILLI / LISTS, "ms");
    }

    private static List<Upstream> upstreams() {
        List<Upstream> all = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS; i++) {
            String pool = "pool-" + i % POOLS;
            all.add(new Upstream("up-" + i, pool, "dc", "192.0.2.1:80", SLOTS, false));
        }
        return all;
    }

    /** Returns the processor time of a choice and the end of an attempt, in nanoseconds. */
    private static double choices(Router router, Random random, int most) {
        Deque<String> running = new ArrayDeque<>();
        Instant now = Instant.EPOCH;
        long start = cpu();
        for (int i = 0; i < CHOICES; i++) {
            String pool = "pool-" + i % POOLS;
            if (router.choose(pool, Set.of(), random, now)
                    instanceof RoutingDecision.ToUpstream u) {
                running.add(u.upstream().id());
            }
            if (running.size() > most) {
                router.attemptEnded(running.poll(), new UpstreamResult.Succeeded(), random, now);
            }
        }
        long nanos = cpu() - start;
        running.forEach(u -> router.attemptEnded(u, new UpstreamResult.Succeeded(), random, now));
        return (double) nanos / CHOICES;
    }

    private static void fill(Router router, Random random) {
        for (int i = 0; i < UPSTREAMS * SLOTS * 2; i++) {
            router.choose("pool-" + i % POOLS, Set.of(), random, Instant.EPOCH);
        }
    }

    private static double refusals(Router router, Random random) {
        long start = cpu();
        for (int i = 0; i < CHOICES; i++) {
            router.choose("pool-" + i % POOLS, Set.of(), random, Instant.EPOCH);
        }
        return (double) (cpu() - start) / CHOICES;
    }

    private static long cpu() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
