package org.chervillift.bench.limits;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.core.limits.HolderLease;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.runtime.supervision.ManualScheduler;

/**
 * A long randomised run of the upper limits under faults, with the invariants asserted inside.
 *
 * <p>At each start at an upstream, no more of the team may run than the limit that the sender knew
 * when it checked its permit, or a later one. Afterwards, with all faults over and no lease left of
 * the dead, one entry VM alone can use each limit but for the reserve.
 */
public final class LimitSoak {

    /** The times of a soak: short, so that leases end and hard bounds pass many times. */
    public static final LimitSettings SETTINGS =
            new LimitSettings(
                    Duration.ofSeconds(40),
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(20),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    10,
                    16);

    private static final int ENTRY_VMS = 8;
    private static final Duration REQUEST_GAP = Duration.ofMillis(4);
    private static final Duration RECOVERY_PATIENCE = Duration.ofSeconds(20);
    private static final Duration SAMPLE_GAP = Duration.ofMillis(20);
    private static final Duration STEP = Duration.ofSeconds(1);

    private final long seed;
    private final ManualScheduler scheduler = new ManualScheduler();
    private final Random random;
    private final FakeTable table = new FakeTable();
    private final FakeUpstreams upstreams;
    private final Network network;
    private final SoakFleet fleet;
    private final FaultPlan faults;

    private LimitSoak(long seed, Variant variant) {
        this.seed = seed;
        this.random = new Random(seed);
        this.upstreams = new FakeUpstreams(scheduler);
        this.network = new Network(scheduler, random);
        this.fleet = new SoakFleet(scheduler, random, network, table, upstreams, SETTINGS, variant);
        this.faults = new FaultPlan(scheduler, random, network, fleet, SETTINGS);
    }

    /**
     * Runs for so many minutes of virtual time.
     *
     * @return named counts
     * @throws InvariantBrokenException as soon as an invariant is broken
     */
    public static Map<String, Long> run(long seed, int minutes, Variant variant) {
        LimitSoak soak = new LimitSoak(seed, variant);
        try {
            return soak.run(minutes);
        } catch (InvariantBrokenException e) {
            throw new InvariantBrokenException(
                    "seed=%d variant=%s at=%s: %s"
                            .formatted(seed, variant, soak.scheduler.now(), e.getMessage()));
        }
    }

    private Map<String, Long> run(int minutes) {
        scheduler.advance(STEP);
        fleet.adopt(firstLimits());
        for (int i = 0; i < ENTRY_VMS; i++) {
            fleet.startNew(fleet.dataCentres().get(i % fleet.dataCentres().size()));
        }
        sendLater();
        faults.start();
        for (long s = 0; s < minutes * 60L; s++) {
            scheduler.advance(STEP);
        }
        faults.stop();
        checkRecovery();
        return counts();
    }

    private static Map<String, Integer> firstLimits() {
        Map<String, Integer> limits = new TreeMap<>();
        limits.put("one", 1);
        limits.put("two", 2);
        limits.put("five", 5);
        limits.put("twenty", 20);
        limits.put("forty", 40);
        return limits;
    }

    private void sendLater() {
        Duration gap = Duration.ofNanos(random.nextLong(2 * REQUEST_GAP.toNanos()));
        scheduler.schedule(
                gap,
                () -> {
                    String[] names = fleet.limits().keySet().toArray(String[]::new);
                    fleet.send(names[random.nextInt(names.length)]);
                    sendLater();
                });
    }

    private void checkRecovery() {
        Map<String, Integer> limits = firstLimits();
        fleet.adopt(limits);
        advance(SETTINGS.leaseDuration().plus(SETTINGS.reclaimDelay()).plus(SoakFleet.CONFIG_LAG));
        advance(SETTINGS.renewInterval().multipliedBy(2));
        checkNothingOfTheDead();
        limits.forEach(this::checkUsable);
    }

    private void checkUsable(String team, int limit) {
        int reserved = limit * SETTINGS.reservePercent() / 100;
        int most = 0;
        Instant end = scheduler.now().plus(RECOVERY_PATIENCE);
        while (scheduler.now().isBefore(end) && most < limit - reserved) {
            for (int i = 0; i <= limit; i++) {
                fleet.send(team);
            }
            scheduler.advance(SAMPLE_GAP);
            most = Math.max(most, fleet.inUse(team));
        }
        if (most < limit - reserved) {
            throw new InvariantBrokenException(
                    "After all faults, team %s has %d permits in use of a limit of %d; the row: %s"
                            .formatted(team, most, limit, table.row(team).value().holdings()));
        }
    }

    private void checkNothingOfTheDead() {
        Set<String> living = fleet.holders();
        for (HolderLease l : table.allLeases()) {
            if (!living.contains(l.holder())) {
                throw new InvariantBrokenException("A lease of the dead stays: " + l);
            }
        }
    }

    private void advance(Duration time) {
        for (long s = 0; s < time.toSeconds(); s++) {
            scheduler.advance(STEP);
        }
    }

    private Map<String, Long> counts() {
        Map<String, Long> counts = new LinkedHashMap<>();
        counts.put("seed", seed);
        counts.put("violations", 0L);
        counts.put("starts", upstreams.starts());
        counts.put("refusals", fleet.refused());
        counts.put("table_writes", table.writes());
        counts.put("table_conflicts", table.conflicts());
        counts.put("table_reads", table.reads());
        counts.putAll(faults.counts());
        return counts;
    }
}
