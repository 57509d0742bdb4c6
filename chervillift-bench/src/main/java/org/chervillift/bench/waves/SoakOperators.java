package org.chervillift.bench.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.random.RandomGenerator;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.FleetWrite;
import org.chervillift.core.waves.WaveCommands;
import org.chervillift.core.waves.WaveSettings;
import org.chervillift.daemon.waves.MaintenanceCommands;
import org.chervillift.runtime.supervision.Scheduler;

/** Operators that send random commands, often two at once. */
final class SoakOperators {

    private static final Duration WAVE_TIME = Duration.ofDays(14);
    private static final int MOST_OPEN_WAVES = 2;

    private final Scheduler clock;
    private final MaintenanceCommands commands;
    private final BudgetAudit audit;
    private final List<String> vmIds;
    private final WaveSettings settings;
    private final RandomGenerator random;
    private int wavesStarted;
    private long done;
    private long refused;

    SoakOperators(
            Scheduler clock,
            MaintenanceCommands commands,
            BudgetAudit audit,
            List<String> vmIds,
            WaveSettings settings,
            RandomGenerator random) {
        this.clock = clock;
        this.commands = commands;
        this.audit = audit;
        this.vmIds = vmIds;
        this.settings = settings;
        this.random = random;
    }

    long done() {
        return done;
    }

    long refused() {
        return refused;
    }

    /** Two operators act at the same moment, without knowing of each other. */
    void race() {
        act();
        act();
    }

    /** Starts a wave over the whole fleet unless enough are open. */
    void startWave() {
        long open = audit.waves().values().stream().filter(SoakOperators::isOpen).count();
        if (open >= MOST_OPEN_WAVES) {
            return;
        }
        long start = clock.now().toEpochMilli();
        WaveRow wave =
                new WaveRow(
                        "wave-" + wavesStarted++,
                        WaveState.RUNNING,
                        "",
                        start,
                        start + WAVE_TIME.toMillis(),
                        random.nextBoolean(),
                        List.of(),
                        List.of(),
                        List.of(),
                        0);
        send((v, now) -> WaveCommands.start(v, wave));
    }

    private void act() {
        List<String> waves = new ArrayList<>(audit.waves().keySet());
        String wave = waves.isEmpty() ? "none" : waves.get(random.nextInt(waves.size()));
        String vm = vmIds.get(random.nextInt(vmIds.size()));
        int kind = random.nextInt(20);
        switch (kind) {
            case 0 -> send((v, now) -> WaveCommands.pause(v, wave));
            case 1 -> send((v, now) -> WaveCommands.skip(v, wave, List.of(vm)));
            case 2 -> send((v, now) -> WaveCommands.abandon(v, wave));
            case 3, 4, 5, 6 -> send((v, now) -> WaveCommands.drain(v, vm, settings, now));
            case 7, 8, 9 -> restoreOne();
            case 10, 11, 12, 13 -> startWave();
            default -> send((v, now) -> WaveCommands.resume(v, wave));
        }
    }

    /** Lets one VM back that an operator took out. */
    void restoreOne() {
        send(SoakOperators::restoreFirst);
    }

    private static Optional<FleetWrite> restoreFirst(FleetView view, Instant now) {
        for (String vm : view.vms().keySet()) {
            boolean out =
                    switch (view.vms().get(vm).row().state()) {
                        case OUT -> true;
                        case DRAINING -> view.vms().get(vm).row().wave().isEmpty();
                        case IN_SERVICE, REBOOTING, MOVING, RETURNING, JOINING, FAILED -> false;
                    };
            if (out) {
                return WaveCommands.restore(view, vm, now);
            }
        }
        return Optional.empty();
    }

    /** Resumes every paused wave. */
    void resumeAll() {
        for (WaveRow w : List.copyOf(audit.waves().values())) {
            if (w.state() == WaveState.PAUSED) {
                send((v, now) -> WaveCommands.resume(v, w.id()));
            }
        }
    }

    private static boolean isOpen(WaveRow wave) {
        return wave.state() == WaveState.RUNNING || wave.state() == WaveState.PAUSED;
    }

    private void send(MaintenanceCommands.Command command) {
        commands.execute(command).whenComplete((outcome, fault) -> note(fault));
    }

    private void note(Throwable fault) {
        if (fault == null) {
            done++;
            return;
        }
        Throwable cause = fault instanceof CompletionException ? fault.getCause() : fault;
        refused++;
        if (cause instanceof ChervilliftException e && e.code() != ErrorCode.INTERNAL) {
            return;
        }
        clock.schedule(
                Duration.ZERO,
                () -> {
                    throw new IllegalStateException("a command met a fault", cause);
                });
    }
}
