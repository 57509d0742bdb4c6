package org.chervillift.bench.config;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.core.keys.FreshnessRules;

/**
 * Runs configuration and keys in virtual time under faults, and checks the invariants all the time.
 *
 * <p>Faults: the store is down, data centres are cut from it and from each other, replies are lost
 * or late, processes crash, restart, pause and are replaced, clocks are wrong, operators race.
 */
public final class ConfigSoak implements Benchmark {

    private static final Duration PROBE = Duration.ofMillis(100);
    private static final int PROBES_A_SAMPLE = 5;

    @Override
    public String name() {
        return "config-soak";
    }

    @Override
    public String summary() {
        return "Configuration versions and keys under random faults, in virtual time.";
    }

    @Override
    public void run(BenchContext context) {
        run(context.seed(), context.minutes(), FreshnessRules.DEFAULT).print("", context);
        run(context.seed(), context.minutes(), FreshnessRules.WITHOUT_PROMISES)
                .print("baseline_", context);
    }

    /** Runs under some rules for so many minutes of virtual time. */
    static SoakFigures run(long seed, int minutes, FreshnessRules rules) {
        SoakWorld world = new SoakWorld(seed, rules);
        SoakFigures figures = new SoakFigures();
        SoakOperators operators = new SoakOperators(world, figures);
        operators.start("ann");
        operators.start("ben");
        new Faults(world).start();
        Instant end = world.time().now().plus(Duration.ofMinutes(minutes));
        int probes = 0;
        while (world.time().now().isBefore(end)) {
            world.time().advance(PROBE);
            world.checkKeys();
            world.checkBroken();
            probes++;
            if (probes % PROBES_A_SAMPLE == 0) {
                figures.sample(world);
            }
        }
        return figures;
    }

    /** Breaks something from time to time, and mends it again. */
    private static final class Faults {
        private final SoakWorld world;
        private final Random random;

        Faults(SoakWorld world) {
            this.world = world;
            this.random = world.random();
        }

        void start() {
            after(5_000, 60_000, this::breakSomething);
        }

        private void breakSomething() {
            int kind = random.nextInt(8);
            if (kind == 0) {
                world.network().storeDown(true);
                after(1_000, 60_000, () -> world.network().storeDown(false));
            } else if (kind == 1) {
                cutFromStore(anyDataCentre());
            } else if (kind == 2) {
                cutPair();
            } else if (kind == 3) {
                isolate(anyDataCentre());
            } else if (kind == 4) {
                pause(world.anyone());
            } else {
                end(world.anyone(), kind);
            }
            start();
        }

        private void cutFromStore(String dataCentre) {
            world.network().cutFromStore(dataCentre, true);
            after(1_000, 40_000, () -> world.network().cutFromStore(dataCentre, false));
        }

        private void cutPair() {
            String one = anyDataCentre();
            String other = anyDataCentre();
            if (!one.equals(other)) {
                world.network().cutPair(one, other, true);
                after(1_000, 40_000, () -> world.network().cutPair(one, other, false));
            }
        }

        private void isolate(String dataCentre) {
            cutFromStore(dataCentre);
            for (String other : SoakWorld.DATA_CENTRES) {
                if (!other.equals(dataCentre)) {
                    world.network().cutPair(dataCentre, other, true);
                    after(1_000, 40_000, () -> world.network().cutPair(dataCentre, other, false));
                }
            }
        }

        private void pause(SoakProcess process) {
            process.clock().pause();
            after(500, 20_000, process.clock()::wake);
        }

        private void end(SoakProcess process, int kind) {
            if (process.leaving()) {
                return;
            }
            boolean planned = kind == 5;
            if (planned) {
                process.stop();
            } else {
                process.crash();
            }
            boolean sameVm = kind != 7 || random.nextBoolean();
            after(
                    planned ? 3_500 : 300,
                    planned ? 6_000 : 5_000,
                    () -> {
                        process.crash();
                        world.replace(process, sameVm);
                    });
        }

        private String anyDataCentre() {
            List<String> names = SoakWorld.DATA_CENTRES;
            return names.get(random.nextInt(names.size()));
        }

        private void after(int leastMillis, int mostMillis, Runnable step) {
            Duration delay =
                    Duration.ofMillis(leastMillis + random.nextInt(mostMillis - leastMillis));
            world.time().schedule(delay, step);
        }
    }
}
