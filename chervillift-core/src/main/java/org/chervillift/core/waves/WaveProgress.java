package org.chervillift.core.waves;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.Versioned;

/**
 * The progress of a wave.
 *
 * @param id the wave
 * @param state the state of the wave
 * @param reason the reason why it is paused, or blank
 * @param deadline when the maintenance of all VMs must be done, UTC
 * @param done the number of VMs that were maintained
 * @param toDo the identifiers of the VMs that are still to be maintained
 * @param out the VMs that are out of service for it, each with its state and since when
 * @param waiting one sentence for each pool whose budget currently allows no VM out
 */
public record WaveProgress(
        String id,
        WaveState state,
        String reason,
        String deadline,
        int done,
        List<String> toDo,
        List<String> out,
        List<String> waiting) {

    public WaveProgress {
        toDo = List.copyOf(toDo);
        out = List.copyOf(out);
        waiting = List.copyOf(waiting);
    }

    /** Returns the progress of a wave. */
    public static WaveProgress of(
            FleetView view, WaveRow wave, WaveSettings settings, Instant now) {
        int done = 0;
        List<String> toDo = new ArrayList<>();
        List<String> out = new ArrayList<>();
        TreeMap<String, List<VmRow>> byPool = new TreeMap<>();
        for (Versioned<VmRow> v : view.vms().values()) {
            VmRow vm = v.row();
            byPool.computeIfAbsent(vm.pool(), p -> new ArrayList<>()).add(vm);
            if (wave.hasToDo(vm)) {
                toDo.add(vm.id());
            } else if (vm.maintainedAtMillis() >= wave.startedAtMillis()) {
                done++;
            }
            if (vm.wave().equals(wave.id()) && vm.state() != VmState.IN_SERVICE) {
                Instant since = Instant.ofEpochMilli(vm.stateSinceMillis());
                out.add("%s %s since %s".formatted(vm.id(), vm.state(), since));
            }
        }
        List<String> waiting = new ArrayList<>();
        byPool.forEach((p, vms) -> addWaitingReason(view, wave, p, vms, settings, now, waiting));
        return new WaveProgress(
                wave.id(),
                wave.state(),
                wave.reason(),
                Instant.ofEpochMilli(wave.deadlineMillis()).toString(),
                done,
                toDo,
                out,
                waiting);
    }

    private static void addWaitingReason(
            FleetView view,
            WaveRow wave,
            String pool,
            List<VmRow> vms,
            WaveSettings settings,
            Instant now,
            List<String> waiting) {
        Versioned<PoolRow> row = view.pools().get(pool);
        List<VmRow> candidates =
                vms.stream()
                        .filter(v -> v.state() == VmState.IN_SERVICE && wave.hasToDo(v))
                        .toList();
        if (row == null || candidates.isEmpty() || wave.state() != WaveState.RUNNING) {
            return;
        }
        PoolBudget budget =
                PoolBudget.of(
                        row.row(),
                        vms,
                        view.health().asOf(now, settings.healthMostAge()),
                        Optional.of(wave),
                        settings,
                        now);
        if (candidates.stream().noneMatch(budget::canTakeOut)) {
            waiting.add(budget.shortageReason());
        }
    }
}
