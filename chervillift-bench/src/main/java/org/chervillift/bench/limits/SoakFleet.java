package org.chervillift.bench.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.runtime.supervision.ManualScheduler;

/** The entry VMs of a run, their configuration and the requests that reach them. */
final class SoakFleet implements FakeEntryVm.Load {

    static final Duration CONFIG_LAG = Duration.ofSeconds(14);

    private static final int FAVOURITE_PERCENT = 80;
    private static final int LOST_PERCENT = 3;
    private static final int LONG_RUN_PERCENT = 2;
    private static final int SHORT_RUN_MS = 400;

    private final ManualScheduler scheduler;
    private final RandomGenerator random;
    private final Network network;
    private final FakeEntryVm.Parts parts;
    private final LimitSettings truth;
    private final List<FakeEntryVm> vms = new ArrayList<>();
    private final List<String> dataCentres;
    private final List<Map<String, Integer>> versions = new ArrayList<>();
    private Map<String, Integer> limits = new TreeMap<>();
    private int born;
    private int favourite;
    private long refusedByDead;

    SoakFleet(
            ManualScheduler scheduler,
            RandomGenerator random,
            Network network,
            FakeTable table,
            FakeUpstreams upstreams,
            LimitSettings truth,
            Variant variant) {
        this.scheduler = scheduler;
        this.random = random;
        this.network = network;
        this.truth = truth;
        this.dataCentres = List.of("a", "b", "c");
        this.parts =
                new FakeEntryVm.Parts(
                        scheduler,
                        random,
                        network,
                        table,
                        upstreams,
                        told(truth, variant),
                        variant,
                        this);
    }

    private static LimitSettings told(LimitSettings truth, Variant variant) {
        if (variant != Variant.RECLAIM_AT_ONCE) {
            return truth;
        }
        return new LimitSettings(
                truth.leaseDuration(),
                truth.renewInterval(),
                Duration.ZERO,
                Duration.ZERO,
                Duration.ZERO,
                truth.idleReturnDelay(),
                truth.pollInterval(),
                truth.minRequestSpacing(),
                truth.reservePercent(),
                truth.batch());
    }

    @Override
    public Duration runLength() {
        if (random.nextInt(100) < LONG_RUN_PERCENT) {
            return Duration.ofMillis(random.nextLong(truth.maxRunTime().toMillis()));
        }
        return Duration.ofMillis(20 + random.nextInt(SHORT_RUN_MS));
    }

    @Override
    public int lostPercent() {
        return LOST_PERCENT;
    }

    @Override
    public int limitAt(String team, long version) {
        return version == 0 ? 0 : versions.get(Math.toIntExact(version - 1)).get(team);
    }

    @Override
    public long newest() {
        return versions.size();
    }

    List<String> dataCentres() {
        return dataCentres;
    }

    List<FakeEntryVm> vms() {
        return vms;
    }

    Map<String, Integer> limits() {
        return limits;
    }

    /** Returns the names under which the living hold permits. */
    Set<String> holders() {
        return vms.stream().map(v -> v.agent().holder()).collect(Collectors.toSet());
    }

    /** Returns the permits of a team that requests of the living use. */
    int inUse(String team) {
        return vms.stream().mapToInt(v -> v.agent().running(team)).sum();
    }

    /** Starts a process on a new VM. */
    void startNew(String dataCentre) {
        start("vm" + born, dataCentre);
    }

    /** Starts a process on a VM whose process was killed. */
    void restart(FakeEntryVm dead) {
        start(dead.vm(), dead.dataCentre());
    }

    private void start(String vm, String dataCentre) {
        Duration half = truth.maxClockSkew().dividedBy(2);
        Duration offset = Duration.ofMillis(random.nextLong(half.toMillis() * 2 + 1)).minus(half);
        FakeEntryVm started = new FakeEntryVm(vm, dataCentre, "i" + born++, parts, offset);
        vms.add(started);
        tellLimits(started, Duration.ZERO);
    }

    void remove(FakeEntryVm vm) {
        vm.kill();
        refusedByDead += vm.refused();
        vms.remove(vm);
    }

    long refused() {
        return refusedByDead + vms.stream().mapToLong(FakeEntryVm::refused).sum();
    }

    /** Brings limits into force; each entry VM hears of them within the lag, unless it is cut. */
    void adopt(Map<String, Integer> newLimits) {
        limits = new TreeMap<>(newLimits);
        versions.add(limits);
        vms.forEach(v -> tellLimits(v, CONFIG_LAG));
    }

    private void tellLimits(FakeEntryVm vm, Duration lag) {
        Duration wait = Duration.ofMillis(random.nextLong(lag.toMillis() + 1));
        scheduler.schedule(wait, () -> tellNow(vm));
    }

    private void tellNow(FakeEntryVm vm) {
        boolean heard = network.isReachable(vm.dataCentre()) || random.nextInt(4) == 0;
        if (!heard) {
            tellLimits(vm, CONFIG_LAG);
        } else if (parts.variant() == Variant.LOWERING_IGNORED) {
            vm.adopt(versions.size(), notLowered(vm));
        } else {
            vm.adopt(versions.size(), limits);
        }
    }

    private Map<String, Integer> notLowered(FakeEntryVm vm) {
        Map<String, Integer> told = new TreeMap<>();
        limits.forEach((t, l) -> told.put(t, Math.max(l, vm.agent().limit(t))));
        return told;
    }

    void changeFavourite() {
        favourite = random.nextInt(vms.size());
    }

    /** Sends a request of a team to the favourite entry VM, or to any other. */
    void send(String team) {
        List<FakeEntryVm> open = vms.stream().filter(FakeEntryVm::takesRequests).toList();
        if (open.isEmpty()) {
            return;
        }
        boolean toFavourite = random.nextInt(100) < FAVOURITE_PERCENT;
        int place = toFavourite ? favourite % open.size() : random.nextInt(open.size());
        open.get(place).arrive(team);
    }
}
