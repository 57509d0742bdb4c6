package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.duties.DutySettings;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.daemon.waves.MaintenanceCommands;
import org.chervillift.daemon.waves.MaintenancePart;
import org.chervillift.daemon.waves.MaintenanceRunner;
import org.chervillift.daemon.waves.MaintenanceSettings;
import org.chervillift.platform.StampingPlatform;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.runtime.supervision.Scheduler;
import org.chervillift.standin.fleet.FakeFleet;

/**
 * The randomised run of maintenance waves in virtual time.
 *
 * <p>Several processes hold the duties. They are frozen, killed and replaced; the platform goes
 * away, loses replies and delays calls; the list lags; VMs and racks fail; bad waves break the VMs
 * that they reboot; operators race. The invariants are asserted all the while. In the end the
 * faults stop, and every wave must come to its end.
 */
public final class WaveSoak {

    private static final int DATA_CENTRES = 3;
    private static final int RACKS_EACH = 3;
    private static final int VMS_A_RACK = 4;
    private static final int PROCESSES_EACH = 2;
    private static final Duration MOST_LIST_LAG = Duration.ofSeconds(20);
    private static final Duration NEWS_DELAY =
            MOST_LIST_LAG.plus(SimNetwork.MOST_DELAY).plusSeconds(15);
    private static final Duration CHECK_STEP = Duration.ofMillis(500);
    private static final WaveSettings WAVES =
            new WaveSettings(
                    Duration.ofSeconds(5),
                    Duration.ofMinutes(5),
                    Duration.ofMinutes(6),
                    Duration.ofSeconds(15),
                    Duration.ofSeconds(10),
                    Duration.ofMinutes(1),
                    Duration.ofMinutes(4),
                    2,
                    1,
                    0.01);

    private static final Set<String> STAMPED = Set.of(VmRow.TABLE, PoolRow.TABLE, WaveRow.TABLE);

    private final SoakSettings settings;
    private final RandomGenerator random;
    private final ManualScheduler clock = new ManualScheduler();
    private final SimStore store;
    private final SimNetwork network;
    private final FakeFleet fleet = new FakeFleet(this::rebootTime);
    private final SimWorld world;
    private final BudgetAudit audit = new BudgetAudit(fleet, NEWS_DELAY);
    private final SimScheduler[] processes = new SimScheduler[DATA_CENTRES * PROCESSES_EACH];
    private final SoakTraffic traffic;
    private SoakOperators operators;
    private int processRuns;
    private long freezes;
    private boolean faulty = true;
    private Instant badUntil = Instant.EPOCH;

    private WaveSoak(SoakSettings settings) {
        this.settings = settings;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(settings.seed());
        this.store = new SimStore(settings.variant());
        this.network = new SimNetwork(clock, random, settings.repeatPart());
        this.world = new SimWorld(clock, store, fleet);
        this.traffic = new SoakTraffic(clock, store, world, random);
    }

    /**
     * Runs once.
     *
     * @throws InvariantBroken if an invariant does not hold
     */
    public static SoakResult run(SoakSettings settings) {
        return new WaveSoak(settings).run();
    }

    private SoakResult run() {
        clock.advance(Duration.ofDays(1));
        store.onCommit(audit::committed);
        createFleet();
        for (int i = 0; i < processes.length; i++) {
            startProcess(i);
        }
        operators =
                new SoakOperators(
                        clock,
                        new MaintenanceCommands(platform(clock), control(clock), clock),
                        audit,
                        world.vmIds(),
                        WAVES,
                        random);
        traffic.start();
        scheduleCheck();
        clock.schedule(Duration.ofSeconds(10), operators::startWave);
        clock.schedule(Duration.ofSeconds(20), this::injectFault);
        clock.advance(settings.faultTime());
        calmDown();
        finishWaves();
        return result();
    }

    private void createFleet() {
        List<Pool> pools = List.of(new Pool("a", 60, false), new Pool("b", 75, false));
        List<VmSpec> vms = new ArrayList<>();
        for (int i = 0; i < DATA_CENTRES * RACKS_EACH * VMS_A_RACK; i++) {
            int rack = i / VMS_A_RACK;
            String pool = i % 3 == 0 ? "a" : "b";
            String id = "vm-%02d".formatted(i);
            String dataCentre = dataCentre(rack / RACKS_EACH);
            vms.add(new VmSpec(id, pool, dataCentre, "rack-" + rack, "127.0.0.1:80", 8));
        }
        world.create(pools, vms);
    }

    private static String dataCentre(int number) {
        return "dc-" + number;
    }

    private void startProcess(int index) {
        SimScheduler scheduler = new SimScheduler(clock);
        processes[index] = scheduler;
        MaintenanceSettings own =
                new MaintenanceSettings(
                        "process-" + processRuns++,
                        dataCentre(index / PROCESSES_EACH),
                        WAVES,
                        DutySettings.DEFAULT,
                        MaintenanceSettings.DEFAULT_ROUND_INTERVAL);
        Set<String> dataCentres = new TreeSet<>();
        for (int i = 0; i < DATA_CENTRES; i++) {
            dataCentres.add(dataCentre(i));
        }
        MaintenancePart part =
                new MaintenancePart(
                        dc ->
                                new MaintenanceRunner(
                                        platform(scheduler),
                                        control(scheduler),
                                        dc,
                                        own,
                                        scheduler,
                                        r -> {}),
                        () -> dataCentres,
                        own.roundInterval(),
                        scheduler);
        part.start(e -> {});
    }

    private Platform platform(Scheduler process) {
        return new StampingPlatform(new SimPlatform(store, network, process), STAMPED);
    }

    private SimControl control(Scheduler process) {
        return new SimControl(world, network, process, settings.variant());
    }

    private Duration rebootTime(String vm, Instant now) {
        if (!faulty || !now.isBefore(badUntil) || random.nextInt(2) == 0) {
            return seconds(20, 90);
        }
        if (random.nextInt(3) == 0) {
            return Duration.ofMinutes(30);
        }
        clock.schedule(seconds(60, 400), () -> failIfFaulty(vm));
        return seconds(20, 90);
    }

    private void failIfFaulty(String vm) {
        if (faulty) {
            world.fail(vm, seconds(60, 1_200));
        }
    }

    private Duration seconds(int least, int most) {
        return Duration.ofSeconds(random.nextInt(least, most));
    }

    private void scheduleCheck() {
        audit.checkNow(clock.now());
        clock.schedule(CHECK_STEP, this::scheduleCheck);
    }

    private void injectFault() {
        if (!faulty) {
            return;
        }
        switch (random.nextInt(16)) {
            case 0, 1 -> freezeOne();
            case 2 -> replaceOne();
            case 3 -> network.takeDown(seconds(2, 60));
            case 4 -> network.loseReplies(seconds(2, 60));
            case 5 -> store.setListLag(seconds(0, (int) MOST_LIST_LAG.toSeconds()));
            case 6 -> failIfFaulty(anyVm());
            case 7 -> failRack();
            case 8 -> badUntil = clock.now().plus(seconds(60, 900));
            default -> operators.race();
        }
        clock.schedule(seconds(1, 40), this::injectFault);
    }

    private void freezeOne() {
        freezes++;
        processes[random.nextInt(processes.length)].freeze(seconds(1, 120));
    }

    private void replaceOne() {
        freezes++;
        int index = random.nextInt(processes.length);
        processes[index].kill();
        startProcess(index);
    }

    private String anyVm() {
        return world.vmIds().get(random.nextInt(world.vmIds().size()));
    }

    private void failRack() {
        if (random.nextInt(8) == 0) {
            Duration time = seconds(60, 1_800);
            world.rackOf(anyVm()).forEach(v -> world.fail(v, time));
        }
    }

    private void calmDown() {
        faulty = false;
        network.calm();
        store.setListLag(Duration.ZERO);
    }

    private void finishWaves() {
        Instant end = clock.now().plus(settings.calmTime());
        while (hasOpenWave() || hasVmOut()) {
            if (clock.now().isAfter(end)) {
                throw new InvariantBroken("Waves do not end: " + openState() + ".", clock.now());
            }
            operators.resumeAll();
            operators.restoreOne();
            clock.advance(Duration.ofMinutes(1));
        }
    }

    private boolean hasOpenWave() {
        return audit.waves().values().stream()
                .map(WaveRow::state)
                .anyMatch(s -> s == WaveState.RUNNING || s == WaveState.PAUSED);
    }

    private boolean hasVmOut() {
        return audit.vms().values().stream().anyMatch(v -> v.state() != VmState.IN_SERVICE);
    }

    private String openState() {
        List<String> out = new ArrayList<>();
        for (VmRow v : audit.vms().values()) {
            if (v.state() != VmState.IN_SERVICE) {
                out.add(v.id() + " " + v.state() + " " + v.wave());
            }
        }
        return audit.waves().values() + " " + out;
    }

    private SoakResult result() {
        return new SoakResult(
                audit.takeOuts(),
                fleet.rebootCount(),
                audit.pauses(),
                audit.waves().size(),
                operators.done(),
                operators.refused(),
                freezes,
                traffic.requests());
    }
}
