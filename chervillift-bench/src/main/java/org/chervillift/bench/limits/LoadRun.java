package org.chervillift.bench.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.chervillift.core.limits.LimitSettings;
import org.chervillift.runtime.supervision.ManualScheduler;

/**
 * A fleet without faults under a load that goes in the main to one entry VM.
 *
 * <p>Requests come at an even rate whatever becomes of them. Four in five of a team go to the
 * team's favourite entry VM, the rest to any.
 */
final class LoadRun implements FakeEntryVm.Load {

    private static final int FAVOURITE_PERCENT = 80;
    private static final int PERCENT = 100;
    private static final Duration RUN = Duration.ofMillis(500);
    private static final Duration STEP = Duration.ofMillis(100);

    private final ManualScheduler scheduler = new ManualScheduler();
    private final Random random;
    private final FakeTable table = new FakeTable();
    private final FakeUpstreams upstreams = new FakeUpstreams(scheduler);
    private final List<FakeEntryVm> vms = new ArrayList<>();
    private final Map<String, Integer> limits;
    private final List<String> teams;
    private final Map<String, Integer> equalParts = new HashMap<>();
    private long samples;
    private double inUse;
    private double equalInUse;
    private long seconds;
    private long startsBefore;
    private long writesBefore;
    private long readsBefore;
    private long conflictsBefore;
    private long bytesBefore;
    private long refusedBefore;

    LoadRun(long seed, int entryVms, Map<String, Integer> limits) {
        this.random = new Random(seed);
        this.limits = new TreeMap<>(limits);
        this.teams = List.copyOf(this.limits.keySet());
        Network network = new Network(scheduler, random);
        FakeEntryVm.Parts parts =
                new FakeEntryVm.Parts(
                        scheduler,
                        random,
                        network,
                        table,
                        upstreams,
                        LimitSettings.DEFAULT,
                        Variant.RIGHT,
                        this);
        for (int i = 0; i < entryVms; i++) {
            FakeEntryVm vm = new FakeEntryVm("vm" + i, "a", "i" + i, parts, Duration.ZERO);
            vms.add(vm);
            vm.adopt(1, this.limits);
        }
    }

    @Override
    public Duration runLength() {
        return RUN;
    }

    @Override
    public int lostPercent() {
        return 0;
    }

    @Override
    public int limitAt(String team, long version) {
        return version == 0 ? 0 : limits.get(team);
    }

    @Override
    public long newest() {
        return 1;
    }

    /** Offers so much work that this many requests would run at once if nothing were refused. */
    void advance(Duration time, int concurrency) {
        double perStep = (double) concurrency * STEP.toMillis() / RUN.toMillis();
        double owed = 0;
        for (long t = 0; t < time.toMillis(); t += STEP.toMillis()) {
            owed += perStep;
            for (; owed >= 1; owed--) {
                send();
            }
            scheduler.advance(STEP);
            sample();
        }
        seconds += time.toSeconds();
    }

    private void send() {
        int team = random.nextInt(teams.size());
        boolean toFavourite = random.nextInt(PERCENT) < FAVOURITE_PERCENT;
        int vm = toFavourite ? team % vms.size() : random.nextInt(vms.size());
        Duration wait = Duration.ofMillis(random.nextLong(STEP.toMillis()));
        scheduler.schedule(wait, () -> arrive(teams.get(team), vm));
    }

    private void arrive(String team, int vm) {
        vms.get(vm).arrive(team);
        for (int shift = 0; shift < vms.size(); shift++) {
            arriveAtEqualParts(team, vm, shift);
        }
    }

    /** The baseline, with the parts left by rounding at each place in turn. */
    private void arriveAtEqualParts(String team, int vm, int shift) {
        int limit = limits.get(team);
        int place = (vm + shift) % vms.size();
        int most = limit / vms.size() + (place < limit % vms.size() ? 1 : 0);
        String part = team + "/" + vm + "/" + shift;
        if (equalParts.getOrDefault(part, 0) < most) {
            equalParts.merge(part, 1, Integer::sum);
            scheduler.schedule(RUN, () -> equalParts.merge(part, -1, Integer::sum));
        }
    }

    private void sample() {
        samples++;
        for (String t : teams) {
            inUse += vms.stream().mapToInt(v -> v.agent().running(t)).sum();
        }
        equalInUse += equalParts.values().stream().mapToInt(Integer::intValue).sum();
    }

    void resetCounts() {
        samples = 0;
        inUse = 0;
        equalInUse = 0;
        seconds = 0;
        startsBefore = upstreams.starts();
        writesBefore = table.writes();
        readsBefore = table.reads();
        conflictsBefore = table.conflicts();
        bytesBefore = table.bytes();
        refusedBefore = refused();
    }

    private long refused() {
        return vms.stream().mapToLong(FakeEntryVm::refused).sum();
    }

    private long starts() {
        return upstreams.starts() - startsBefore;
    }

    double inUse() {
        return inUse / samples;
    }

    /** Returns the most requests of one team that ever ran at once at the upstreams. */
    int mostRunning() {
        return upstreams.most();
    }

    double equalPartsInUse() {
        return equalInUse / samples / vms.size();
    }

    double startsPerSecond() {
        return (double) starts() / seconds;
    }

    double writesPerSecond() {
        return (double) (table.writes() - writesBefore) / seconds;
    }

    double readsPerSecond() {
        return (double) (table.reads() - readsBefore) / seconds;
    }

    double conflictsPerSecond() {
        return (double) (table.conflicts() - conflictsBefore) / seconds;
    }

    double writesPerStart() {
        return (double) (table.writes() - writesBefore) / Math.max(1, starts());
    }

    double bytesPerSecondAndVm() {
        return (double) (table.bytes() - bytesBefore) / seconds / vms.size();
    }

    double refusedPart() {
        long refused = refused() - refusedBefore;
        return (double) refused / Math.max(1, refused + starts());
    }
}
