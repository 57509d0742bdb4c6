package org.chervillift.bench.waves;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.core.fleet.FleetHealth;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.Versioned;
import org.chervillift.core.waves.WaveAction;
import org.chervillift.core.waves.WavePlanner;
import org.chervillift.core.waves.WaveReport;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.standin.fleet.FakeFleet;

/** One wave over a fleet in virtual time, with the same drains, reboots and failures per seed. */
final class RolloutSimulation {

    private static final Duration STEP = Duration.ofSeconds(5);
    private static final Duration LONGEST = Duration.ofDays(14);
    private static final Instant START = Instant.ofEpochSecond(10_000_000);
    private static final int FIXED_PART = 10;
    private static final double FAILURES_PER_VM_SECOND = 14.0 / 1_500 / 86_400;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double BYTES_PER_KIB = 1_024;

    private final RolloutFleet spec;
    private final RolloutPolicy policy;
    private final WaveSettings settings;
    private final RandomGenerator random;
    private final FakeFleet fleet = new FakeFleet((vm, now) -> rebootTime(vm));
    private final SortedMap<String, VmRow> vms = new TreeMap<>();
    private final SortedMap<String, PoolRow> pools = new TreeMap<>();
    private final SortedMap<String, WaveRow> waves = new TreeMap<>();
    private final Map<String, List<String>> idsByPool = new HashMap<>();
    private final Map<String, Duration> drainTimes = new HashMap<>();
    private final Map<String, Duration> rebootTimes = new HashMap<>();
    private final Map<String, FleetHealth> healthByDataCentre = new HashMap<>();
    private final TreeMap<Instant, List<String>> recoveries = new TreeMap<>();
    private final ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private Instant now = START;
    private int leastMargin = Integer.MAX_VALUE;
    private double belowBudgetSeconds;
    private int takenPastBudget;
    private long rounds;
    private long roundNanos;
    private long roundBytes;

    private RolloutSimulation(RolloutFleet spec, RolloutPolicy policy, long seed) {
        this.spec = spec;
        this.policy = policy;
        this.settings = settingsOf(policy);
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        for (Pool p : spec.pools()) {
            pools.put(p.name(), PoolRow.first(p));
        }
        for (VmSpec v : spec.vms()) {
            fleet.add(v.id());
            vms.put(v.id(), VmRow.first(v, START));
            idsByPool.computeIfAbsent(v.pool(), p -> new ArrayList<>()).add(v.id());
            drainTimes.put(v.id(), Duration.ofSeconds(random.nextInt(5, 120)));
            rebootTimes.put(v.id(), Duration.ofSeconds(random.nextInt(60, 180)));
        }
        waves.put("wave", wave());
    }

    static RolloutResult run(RolloutFleet spec, RolloutPolicy policy, long seed) {
        return new RolloutSimulation(spec, policy, seed).run();
    }

    private static WaveSettings settingsOf(RolloutPolicy policy) {
        WaveSettings d = WaveSettings.DEFAULT;
        Duration probation = policy == RolloutPolicy.NO_PROBATION ? Duration.ZERO : d.probation();
        return new WaveSettings(
                d.settle(),
                d.drainReportAfter(),
                d.returnTimeout(),
                d.failAfter(),
                d.healthMostAge(),
                d.failedHold(),
                probation,
                d.provenAfter(),
                d.reserve(),
                d.failuresPerVmDay());
    }

    private static WaveRow wave() {
        long start = START.toEpochMilli();
        return new WaveRow(
                "wave",
                WaveState.RUNNING,
                "",
                start,
                start + LONGEST.toMillis(),
                false,
                List.of(),
                List.of(),
                List.of(),
                0);
    }

    private Duration rebootTime(String vm) {
        return rebootTimes.get(vm);
    }

    private RolloutResult run() {
        Set<String> dataCentres = new TreeSet<>();
        spec.vms().forEach(v -> dataCentres.add(v.dataCentre()));
        while (waves.get("wave").state() == WaveState.RUNNING
                && now.isBefore(START.plus(LONGEST))) {
            injectFailures();
            for (String dc : dataCentres) {
                round(dc);
            }
            if (policy == RolloutPolicy.ONE_AT_A_TIME || policy == RolloutPolicy.FIXED_TENTH) {
                takeOutByBaseline();
            }
            count();
            now = now.plus(STEP);
        }
        double seconds = Duration.between(START, now).toSeconds();
        return new RolloutResult(
                seconds,
                lowerBound(),
                leastMargin,
                belowBudgetSeconds,
                takenPastBudget,
                roundNanos / NANOS_PER_MICRO / rounds,
                roundBytes / BYTES_PER_KIB / rounds);
    }

    /** Failures come from the clock and the seed alone, so that all policies meet the same. */
    private void injectFailures() {
        double chance = FAILURES_PER_VM_SECOND * STEP.toSeconds() * spec.vms().size();
        if (random.nextDouble() < chance) {
            String vm = spec.vms().get(random.nextInt(spec.vms().size())).id();
            fail(List.of(vm));
        }
        if (now.equals(START.plus(Duration.ofMinutes(20)))) {
            String rack = spec.vms().getFirst().rack();
            fail(spec.vms().stream().filter(v -> v.rack().equals(rack)).map(VmSpec::id).toList());
        }
        Map<Instant, List<String>> due = recoveries.headMap(now, true);
        due.values().forEach(list -> list.forEach(v -> fleet.vm(v).recover()));
        due.clear();
    }

    private void fail(List<String> failing) {
        failing.forEach(v -> fleet.vm(v).fail(now));
        Instant back = now.plus(Duration.ofMinutes(15));
        recoveries.computeIfAbsent(back, t -> new ArrayList<>()).addAll(failing);
    }

    private void round(String dataCentre) {
        FleetView view = view(dataCentre);
        long thread = Thread.currentThread().threadId();
        long bytes = threads.getThreadAllocatedBytes(thread);
        long nanos = threads.getCurrentThreadCpuTime();
        List<WaveAction> actions = WavePlanner.decide(view, dataCentre, settings, now);
        roundNanos += threads.getCurrentThreadCpuTime() - nanos;
        roundBytes += threads.getThreadAllocatedBytes(thread) - bytes;
        rounds++;
        actions.forEach(this::carryOut);
    }

    private FleetView view(String dataCentre) {
        Map<String, VmStatus> statuses = new HashMap<>();
        Set<String> up = new HashSet<>();
        for (VmStatus s : fleet.status(vms.keySet(), now)) {
            statuses.put(s.vm(), s);
            if (s.accepting()) {
                up.add(s.vm());
            }
        }
        FleetHealth health =
                healthByDataCentre
                        .getOrDefault(dataCentre, FleetHealth.UNKNOWN)
                        .afterCheck(vms.keySet(), up, up, now);
        healthByDataCentre.put(dataCentre, health);
        return new FleetView(
                Optional.empty(),
                versioned(vms),
                versioned(pools),
                versioned(waves),
                health,
                statuses);
    }

    private static <T> SortedMap<String, Versioned<T>> versioned(SortedMap<String, T> rows) {
        SortedMap<String, Versioned<T>> map = new TreeMap<>();
        rows.forEach((k, v) -> map.put(k, new Versioned<>(v, 1)));
        return map;
    }

    private void carryOut(WaveAction action) {
        switch (action) {
            case WaveAction.Commit c -> commit(c);
            case WaveAction.Drain d -> drain(d);
            case WaveAction.Reboot r -> fleet.reboot(r.vm(), r.fence(), now);
            case WaveAction.Restore r -> fleet.restore(r.vm(), r.fence(), now);
            case WaveAction.Report t -> {
                // Nobody reads along.
            }
        }
    }

    private void drain(WaveAction.Drain action) {
        Instant end = now.plus(drainTimes.get(action.vm()));
        fleet.vm(action.vm()).admit("last", end, now);
        fleet.drain(action.vm(), action.fence());
    }

    private void commit(WaveAction.Commit c) {
        boolean takesOut = c.report().map(r -> r.kind() == WaveReport.Kind.TAKEN_OUT).orElse(false);
        boolean planned = policy == RolloutPolicy.PLANNER || policy == RolloutPolicy.NO_PROBATION;
        if (takesOut && !planned) {
            return;
        }
        c.write().vms().forEach(v -> vms.put(v.id(), v));
        c.write().pools().forEach(p -> pools.put(p.name(), p));
        c.write().waves().forEach(w -> waves.put(w.id(), resumed(w)));
        if (takesOut) {
            checkBudget(c.write().vms().getFirst().pool());
        }
    }

    /** An operator resumes a paused wave at once, so that roll-out times can be compared. */
    private static WaveRow resumed(WaveRow wave) {
        return wave.state() == WaveState.PAUSED ? wave.enter(WaveState.RUNNING, "") : wave;
    }

    private void takeOutByBaseline() {
        if (policy == RolloutPolicy.ONE_AT_A_TIME) {
            boolean busy = vms.values().stream().anyMatch(RolloutSimulation::isOut);
            if (!busy) {
                takeOut(vms.values(), 1);
            }
            return;
        }
        for (String pool : pools.keySet()) {
            List<VmRow> inPool = inPool(pool);
            int most = Math.max(1, inPool.size() / FIXED_PART);
            int out = (int) inPool.stream().filter(RolloutSimulation::isOut).count();
            takeOut(inPool, most - out);
        }
    }

    private static boolean isOut(VmRow vm) {
        return vm.state() != VmState.IN_SERVICE && vm.state() != VmState.FAILED;
    }

    private void takeOut(Collection<VmRow> from, int count) {
        WaveRow wave = waves.get("wave");
        List<VmRow> chosen =
                from.stream()
                        .filter(v -> v.state() == VmState.IN_SERVICE && wave.hasToDo(v))
                        .filter(v -> fleet.vm(v.id()).isAccepting(now))
                        .limit(Math.max(0, count))
                        .toList();
        for (VmRow v : chosen) {
            vms.put(v.id(), v.drainFor("wave", now));
            checkBudget(v.pool());
        }
    }

    private List<VmRow> inPool(String pool) {
        return idsByPool.get(pool).stream().map(vms::get).toList();
    }

    private void checkBudget(String pool) {
        if (countOf(pool).margin() < 0) {
            takenPastBudget++;
        }
    }

    private PoolCount countOf(String pool) {
        return PoolCount.of(pools.get(pool), inPool(pool), fleet, now);
    }

    private void count() {
        for (String p : pools.keySet()) {
            PoolCount c = countOf(p);
            if (c.outOnPurpose() > 0) {
                leastMargin = Math.min(leastMargin, c.margin());
            }
            if (c.outOnPurpose() > 0 && c.margin() < 0) {
                belowBudgetSeconds += STEP.toSeconds();
            }
        }
    }

    /** The work of each pool at as many VMs at once as its budget leaves; the longest pool. */
    private double lowerBound() {
        double longest = 0;
        for (PoolRow p : pools.values()) {
            List<VmRow> inPool = inPool(p.name());
            double work = 0;
            for (VmRow v : inPool) {
                work += drainTimes.get(v.id()).toSeconds() + rebootTimes.get(v.id()).toSeconds();
            }
            int room = inPool.size() - p.required(inPool.size());
            longest = Math.max(longest, work / room);
        }
        return longest;
    }
}
