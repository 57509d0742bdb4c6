package org.chervillift.core.waves;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.core.fleet.FleetHealth;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.FleetWrite;
import org.chervillift.core.fleet.Versioned;
import org.chervillift.core.waves.WaveReport.Kind;

/**
 * Decides the next step of a VM that is not in service.
 *
 * <p>The steps depend only on the rows and on the status answers of the VMs, so a new holder of the
 * duty continues where the previous one stopped. No step here needs the budget.
 */
final class VmStepPlanner {

    private final FleetView view;
    private final WaveSettings settings;
    private final Instant now;
    private final FleetHealth health;

    VmStepPlanner(FleetView view, WaveSettings settings, Instant now) {
        this.view = view;
        this.settings = settings;
        this.now = now;
        this.health = view.health().asOf(now, settings.healthMostAge());
    }

    List<WaveAction> nextActions(VmRow vm) {
        return switch (vm.state()) {
            case IN_SERVICE, OUT -> List.of();
            case DRAINING ->
                    isCancelled(vm) ? List.of(changeState(vm, VmState.RETURNING)) : drain(vm);
            case MOVING -> drain(vm);
            case REBOOTING -> reboot(vm);
            case RETURNING, JOINING -> awaitReturn(vm);
            case FAILED -> recoverFailed(vm);
        };
    }

    /** Returns whether the wave no longer runs or skips the VM, so that its drain is cancelled. */
    private boolean isCancelled(VmRow vm) {
        if (vm.wave().isEmpty()) {
            return false;
        }
        Versioned<WaveRow> wave = view.waves().get(vm.wave());
        return wave == null
                || wave.row().state() != WaveState.RUNNING
                || wave.row().skipped().contains(vm.id());
    }

    private List<WaveAction> drain(VmRow vm) {
        Optional<VmStatus> answer = view.status(vm.id());
        if (answer.isEmpty()) {
            return isInStateForLessThan(vm, settings.returnTimeout())
                    ? List.of()
                    : List.of(changeState(vm, VmState.FAILED));
        }
        VmStatus status = answer.get();
        if (status.accepting() || status.fence() < vm.epoch()) {
            return List.of(new WaveAction.Drain(vm.id(), vm.epoch()));
        }
        if (status.running() == 0 && !isInStateForLessThan(vm, settings.settle())) {
            return List.of(afterDrain(vm));
        }
        return isInStateForLessThan(vm, settings.drainReportAfter())
                ? List.of()
                : List.of(new WaveAction.Report(drainOverdueReport(vm, status)));
    }

    private WaveAction afterDrain(VmRow vm) {
        if (vm.state() == VmState.MOVING) {
            return completeMove(vm);
        }
        if (vm.wave().isEmpty()) {
            return changeState(vm, VmState.OUT);
        }
        // The condition on the wave makes the write fail if the wave was paused first.
        return new WaveAction.Commit(
                FleetWrite.vm(
                        view.conditions(view.vmUnchanged(vm.id()), view.waveUnchanged(vm.wave())),
                        vm.enter(VmState.REBOOTING, now)),
                Optional.empty());
    }

    private WaveAction completeMove(VmRow vm) {
        if (!view.pools().containsKey(vm.target())) {
            return changeState(vm, VmState.RETURNING);
        }
        return new WaveAction.Commit(
                FleetWrite.vm(
                        view.conditions(view.vmUnchanged(vm.id()), view.poolUnchanged(vm.target())),
                        vm.arrive(now)),
                Optional.empty());
    }

    private WaveReport drainOverdueReport(VmRow vm, VmStatus status) {
        Duration since = Duration.ofMillis(now.toEpochMilli() - vm.stateSinceMillis());
        return new WaveReport(
                Kind.DRAIN_OVERDUE,
                vm.id(),
                "VM %s has been draining for %d s and still runs %d: %s."
                        .formatted(
                                vm.id(),
                                since.toSeconds(),
                                status.running(),
                                String.join(", ", status.runningNames())));
    }

    private List<WaveAction> reboot(VmRow vm) {
        Optional<VmStatus> answer = view.status(vm.id());
        if (answer.isPresent() && answer.get().rebootFence() == vm.epoch()) {
            return List.of(
                    new WaveAction.Commit(
                            FleetWrite.vm(
                                    view.conditions(view.vmUnchanged(vm.id())), vm.rebooted(now)),
                            Optional.empty()));
        }
        if (!isInStateForLessThan(vm, settings.returnTimeout())) {
            return List.of(markNotReturned(vm));
        }
        boolean wasRebootSent = answer.map(s -> s.fence() >= vm.epoch()).orElse(false);
        return wasRebootSent ? List.of() : List.of(new WaveAction.Reboot(vm.id(), vm.epoch()));
    }

    private List<WaveAction> awaitReturn(VmRow vm) {
        Optional<VmStatus> answer = view.status(vm.id());
        boolean isRestored =
                answer.map(s -> s.accepting() && s.fence() >= vm.epoch()).orElse(false);
        if (!isRestored || !health.isUp(vm.id())) {
            return restoreOrTimeOut(vm, answer.isPresent() && !isRestored);
        }
        WaveReport report =
                new WaveReport(
                        Kind.RETURNED,
                        vm.id(),
                        "VM %s is in service in pool %s.".formatted(vm.id(), vm.pool()));
        return List.of(
                new WaveAction.Commit(
                        FleetWrite.vm(
                                view.conditions(view.vmUnchanged(vm.id())),
                                vm.enter(VmState.IN_SERVICE, now)),
                        Optional.of(report)));
    }

    private List<WaveAction> recoverFailed(VmRow vm) {
        boolean hasAnswered = view.status(vm.id()).isPresent();
        if (!hasAnswered || isInStateForLessThan(vm, settings.failedHold())) {
            return List.of();
        }
        // A returning VM counts as out for maintenance. Writing the pool makes a concurrent
        // decision to
        // take out another VM fail.
        Versioned<PoolRow> pool = view.pools().get(vm.pool());
        if (pool == null) {
            return List.of(changeState(vm, VmState.RETURNING));
        }
        FleetWrite write =
                new FleetWrite(
                        view.conditions(view.vmUnchanged(vm.id()), view.poolUnchanged(vm.pool())),
                        List.of(vm.enter(VmState.RETURNING, now)),
                        List.of(pool.row().changed()),
                        List.of());
        return List.of(new WaveAction.Commit(write, Optional.empty()));
    }

    private List<WaveAction> restoreOrTimeOut(VmRow vm, boolean restore) {
        if (!isInStateForLessThan(vm, settings.returnTimeout())) {
            return List.of(markNotReturned(vm));
        }
        return restore ? List.of(new WaveAction.Restore(vm.id(), vm.epoch())) : List.of();
    }

    private WaveAction markNotReturned(VmRow vm) {
        List<Condition> conditions = new ArrayList<>(view.conditions(view.vmUnchanged(vm.id())));
        List<WaveRow> waves = new ArrayList<>();
        Versioned<WaveRow> wave = view.waves().get(vm.wave());
        if (wave != null) {
            conditions.add(view.waveUnchanged(vm.wave()));
            waves.add(WavePausePolicy.afterNoReturn(wave.row(), vm, settings));
        }
        VmRow failed = vm.enter(VmState.FAILED, now);
        return new WaveAction.Commit(
                new FleetWrite(conditions, List.of(failed), List.of(), waves),
                Optional.of(noReturnReport(vm, waves)));
    }

    private WaveReport noReturnReport(VmRow vm, List<WaveRow> waves) {
        String sentence =
                "VM %s did not answer or did not accept requests for %d s in state %s."
                        .formatted(vm.id(), settings.returnTimeout().toSeconds(), vm.state());
        return waves.isEmpty()
                ? new WaveReport(Kind.VM_FAILED, vm.id(), sentence)
                : new WaveReport(Kind.WAVE_PAUSED, vm.wave(), sentence);
    }

    private WaveAction changeState(VmRow vm, VmState next) {
        return new WaveAction.Commit(
                FleetWrite.vm(view.conditions(view.vmUnchanged(vm.id())), vm.enter(next, now)),
                Optional.empty());
    }

    private boolean isInStateForLessThan(VmRow vm, Duration age) {
        return now.toEpochMilli() - vm.stateSinceMillis() < age.toMillis();
    }
}
