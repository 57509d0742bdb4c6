package org.chervillift.core.waves;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.FleetWrite;
import org.chervillift.core.fleet.Versioned;

/**
 * Translates operator commands into conditional writes.
 *
 * <p>An empty result means that the command is already in effect, so commands are idempotent.
 */
public final class WaveCommands {

    private WaveCommands() {}

    /**
     * Starts a wave.
     *
     * @throws ChervilliftException with {@link ErrorCode#CONFLICT} if a different wave has its
     *     name, or {@link ErrorCode#NOT_FOUND} if it names a pool that does not exist
     */
    public static Optional<FleetWrite> start(FleetView view, WaveRow wave) {
        Versioned<WaveRow> known = view.waves().get(wave.id());
        if (known != null) {
            if (isSameOrder(known.row(), wave)) {
                return Optional.empty();
            }
            throw new ChervilliftException(
                    ErrorCode.CONFLICT, "A different wave " + wave.id() + " already exists.");
        }
        for (String p : wave.pools()) {
            if (!view.pools().containsKey(p)) {
                throw new ChervilliftException(ErrorCode.NOT_FOUND, "Pool " + p + ".");
            }
        }
        Condition absent = new Condition(WaveRow.key(wave.id()), 0);
        return Optional.of(FleetWrite.wave(List.of(absent), wave));
    }

    private static boolean isSameOrder(WaveRow a, WaveRow b) {
        return a.pools().equals(b.pools())
                && a.urgent() == b.urgent()
                && a.deadlineMillis() - a.startedAtMillis()
                        == b.deadlineMillis() - b.startedAtMillis();
    }

    /** Pauses a wave: no further VM is taken out, and draining VMs return to service. */
    public static Optional<FleetWrite> pause(FleetView view, String id) {
        WaveRow wave = requireOpen(view, id);
        return wave.state() == WaveState.PAUSED
                ? Optional.empty()
                : putWave(view, wave.enter(WaveState.PAUSED, "Paused by an operator."));
    }

    /** Resumes a wave; earlier failures are no longer attributed to it. */
    public static Optional<FleetWrite> resume(FleetView view, String id) {
        WaveRow wave = requireOpen(view, id);
        if (wave.state() == WaveState.RUNNING) {
            return Optional.empty();
        }
        WaveRow cleared = wave.withFailures(List.of(), wave.failedOthers());
        return putWave(view, cleared.enter(WaveState.RUNNING, ""));
    }

    /** Excludes VMs from a wave. */
    public static Optional<FleetWrite> skip(FleetView view, String id, List<String> vms) {
        WaveRow wave = requireOpen(view, id);
        for (String v : vms) {
            requireVm(view, v);
        }
        TreeSet<String> skipped = new TreeSet<>(wave.skipped());
        return skipped.addAll(vms)
                ? putWave(view, wave.withSkipped(List.copyOf(skipped)))
                : Optional.empty();
    }

    /** Ends a wave: no further VM is taken out, and VMs that are out return to service. */
    public static Optional<FleetWrite> abandon(FleetView view, String id) {
        WaveRow wave = requireWave(view, id);
        return switch (wave.state()) {
            case RUNNING, PAUSED ->
                    putWave(view, wave.enter(WaveState.ABANDONED, "Abandoned by an operator."));
            case ABANDONED, DONE -> Optional.empty();
        };
    }

    /**
     * Takes a VM out of service until an operator restores it.
     *
     * @throws ChervilliftException with {@link ErrorCode#CONFLICT} if the budget does not allow it
     */
    public static Optional<FleetWrite> drain(
            FleetView view, String id, WaveSettings settings, Instant now) {
        VmRow vm = requireVm(view, id);
        return switch (vm.state()) {
            case OUT -> Optional.empty();
            case DRAINING -> vm.wave().isEmpty() ? Optional.empty() : rejectState(vm);
            case IN_SERVICE -> Optional.of(takeOut(view, vm, settings, now));
            case REBOOTING, MOVING, RETURNING, JOINING, FAILED -> rejectState(vm);
        };
    }

    /** Returns a VM that an operator took out to service. */
    public static Optional<FleetWrite> restore(FleetView view, String id, Instant now) {
        VmRow vm = requireVm(view, id);
        return switch (vm.state()) {
            case OUT -> Optional.of(returnFromOut(view, vm, now));
            case DRAINING -> vm.wave().isEmpty() ? returnFromDrain(view, vm, now) : rejectState(vm);
            case IN_SERVICE, RETURNING -> Optional.empty();
            case REBOOTING, MOVING, JOINING, FAILED -> rejectState(vm);
        };
    }

    /**
     * Returns the write that brings a VM back from {@link VmState#OUT}. A returning VM counts as
     * out for maintenance. Writing the pool makes a concurrent decision to take out another VM
     * fail.
     */
    private static FleetWrite returnFromOut(FleetView view, VmRow vm, Instant now) {
        PoolRow pool = requirePool(view, vm).row();
        return new FleetWrite(
                List.of(view.vmUnchanged(vm.id()), view.poolUnchanged(vm.pool())),
                List.of(vm.enter(VmState.RETURNING, now)),
                List.of(pool.changed()),
                List.of());
    }

    private static Versioned<PoolRow> requirePool(FleetView view, VmRow vm) {
        Versioned<PoolRow> pool = view.pools().get(vm.pool());
        if (pool == null) {
            throw new ChervilliftException(ErrorCode.NOT_FOUND, "Pool " + vm.pool() + ".");
        }
        return pool;
    }

    private static Optional<FleetWrite> returnFromDrain(FleetView view, VmRow vm, Instant now) {
        return Optional.of(
                FleetWrite.vm(
                        List.of(view.vmUnchanged(vm.id())), vm.enter(VmState.RETURNING, now)));
    }

    private static FleetWrite takeOut(
            FleetView view, VmRow vm, WaveSettings settings, Instant now) {
        Versioned<PoolRow> pool = requirePool(view, vm);
        List<VmRow> vms =
                view.vms().values().stream()
                        .map(Versioned::row)
                        .filter(v -> v.pool().equals(vm.pool()))
                        .toList();
        PoolBudget budget =
                PoolBudget.of(
                        pool.row(),
                        vms,
                        view.health().asOf(now, settings.healthMostAge()),
                        Optional.empty(),
                        settings,
                        now);
        if (!budget.canTakeOut(vm)) {
            throw new ChervilliftException(ErrorCode.CONFLICT, budget.shortageReason());
        }
        return new FleetWrite(
                List.of(view.vmUnchanged(vm.id()), view.poolUnchanged(vm.pool())),
                List.of(vm.drainFor("", now)),
                List.of(pool.row().changed()),
                List.of());
    }

    private static Optional<FleetWrite> rejectState(VmRow vm) {
        throw new ChervilliftException(
                ErrorCode.CONFLICT,
                "VM %s is in state %s%s."
                        .formatted(
                                vm.id(),
                                vm.state(),
                                vm.wave().isEmpty() ? "" : " of wave " + vm.wave()));
    }

    private static Optional<FleetWrite> putWave(FleetView view, WaveRow wave) {
        return Optional.of(FleetWrite.wave(List.of(view.waveUnchanged(wave.id())), wave));
    }

    private static WaveRow requireOpen(FleetView view, String id) {
        WaveRow wave = requireWave(view, id);
        return switch (wave.state()) {
            case RUNNING, PAUSED -> wave;
            case ABANDONED, DONE ->
                    throw new ChervilliftException(
                            ErrorCode.CONFLICT, "Wave " + id + " is " + wave.state() + ".");
        };
    }

    private static WaveRow requireWave(FleetView view, String id) {
        Versioned<WaveRow> wave = view.waves().get(id);
        if (wave == null) {
            throw new ChervilliftException(ErrorCode.NOT_FOUND, "Wave " + id + ".");
        }
        return wave.row();
    }

    private static VmRow requireVm(FleetView view, String id) {
        Versioned<VmRow> vm = view.vms().get(id);
        if (vm == null) {
            throw new ChervilliftException(ErrorCode.NOT_FOUND, "VM " + id + ".");
        }
        return vm.row();
    }
}
