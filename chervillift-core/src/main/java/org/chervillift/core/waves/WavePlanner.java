package org.chervillift.core.waves;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.core.fleet.FleetHealth;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.FleetWrite;
import org.chervillift.core.fleet.Versioned;
import org.chervillift.core.waves.WaveReport.Kind;

/**
 * Decides the actions of one round of the maintenance duty of one data centre.
 *
 * <p>The planner keeps no state between rounds. VMs of other data centres count in the budgets, but
 * only the holders of their duties act on them.
 */
public final class WavePlanner {

    private static final Comparator<WaveRow> URGENT_FIRST =
            Comparator.comparing(WaveRow::urgent)
                    .reversed()
                    .thenComparing(WaveRow::deadlineMillis)
                    .thenComparing(WaveRow::id);

    private final FleetView view;
    private final String dataCentre;
    private final WaveSettings settings;
    private final Instant now;
    private final FleetHealth health;
    private final Map<String, List<VmRow>> vmsByPool = new TreeMap<>();
    private final List<VmRow> allVms = new ArrayList<>();

    private WavePlanner(FleetView view, String dataCentre, WaveSettings settings, Instant now) {
        this.view = view;
        this.dataCentre = dataCentre;
        this.settings = settings;
        this.now = now;
        this.health = view.health().asOf(now, settings.healthMostAge());
        for (Versioned<VmRow> v : view.vms().values()) {
            allVms.add(v.row());
            vmsByPool.computeIfAbsent(v.row().pool(), p -> new ArrayList<>()).add(v.row());
        }
    }

    /** Returns the actions of the holder of a data centre's duty in this round. */
    public static List<WaveAction> decide(
            FleetView view, String dataCentre, WaveSettings settings, Instant now) {
        return new WavePlanner(view, dataCentre, settings, now).decide();
    }

    private List<WaveAction> decide() {
        List<WaveAction> actions = new ArrayList<>();
        List<VmRow> failed = newlyFailed();
        if (!failed.isEmpty()) {
            actions.add(markFailed(failed));
        }
        VmStepPlanner steps = new VmStepPlanner(view, settings, now);
        for (VmRow v : allVms) {
            if (v.dataCentre().equals(dataCentre)) {
                actions.addAll(steps.nextActions(v));
            }
        }
        // Marking failures changes pools and waves, so VMs are taken out only in the next round.
        if (failed.isEmpty()) {
            view.waves().values().stream()
                    .map(Versioned::row)
                    .filter(w -> w.state() == WaveState.RUNNING)
                    .sorted(URGENT_FIRST)
                    .forEach(w -> actions.addAll(advance(w)));
        }
        return actions;
    }

    private List<VmRow> newlyFailed() {
        List<VmRow> inService =
                allVms.stream()
                        .filter(v -> v.dataCentre().equals(dataCentre))
                        .filter(v -> v.state() == VmState.IN_SERVICE)
                        .toList();
        List<VmRow> silent = inService.stream().filter(this::isSilentTooLong).toList();
        // If most are silent, the fault is more likely between them and this process, so that they
        // count as unknown and not as failed.
        return silent.size() * 2 > inService.size() ? List.of() : silent;
    }

    private boolean isSilentTooLong(VmRow vm) {
        return health.silentFor(vm.id(), now)
                .map(d -> d.compareTo(settings.failAfter()) >= 0)
                .orElse(false);
    }

    private WaveAction markFailed(List<VmRow> failed) {
        List<Condition> conditions = new ArrayList<>(view.conditions());
        Set<String> poolNames = new LinkedHashSet<>();
        for (VmRow v : failed) {
            conditions.add(view.vmUnchanged(v.id()));
            poolNames.add(v.pool());
        }
        List<PoolRow> pools = new ArrayList<>();
        for (String p : poolNames) {
            if (view.pools().containsKey(p)) {
                conditions.add(view.poolUnchanged(p));
                pools.add(view.pools().get(p).row().changed());
            }
        }
        List<WaveRow> waves = new ArrayList<>();
        for (Versioned<WaveRow> w : view.waves().values()) {
            WaveRow after = WavePausePolicy.afterFailures(w.row(), failed, allVms, settings, now);
            if (!after.equals(w.row()) && isOpen(w.row())) {
                conditions.add(view.waveUnchanged(w.row().id()));
                waves.add(after);
            }
        }
        List<VmRow> rows = failed.stream().map(v -> v.enter(VmState.FAILED, now)).toList();
        return new WaveAction.Commit(
                new FleetWrite(conditions, rows, pools, waves),
                Optional.of(failureReport(failed, waves)));
    }

    private static boolean isOpen(WaveRow wave) {
        return wave.state() == WaveState.RUNNING || wave.state() == WaveState.PAUSED;
    }

    private static WaveReport failureReport(List<VmRow> failed, List<WaveRow> waves) {
        for (WaveRow w : waves) {
            if (w.state() == WaveState.PAUSED) {
                return new WaveReport(
                        Kind.WAVE_PAUSED,
                        w.id(),
                        "Wave %s is paused. %s".formatted(w.id(), w.reason()));
            }
        }
        List<String> names = failed.stream().map(VmRow::id).toList();
        return new WaveReport(
                Kind.VM_FAILED,
                names.getFirst(),
                "VMs did not accept requests: " + String.join(", ", names) + ".");
    }

    private List<WaveAction> advance(WaveRow wave) {
        List<WaveAction> actions = new ArrayList<>();
        boolean hasUnfinishedVms = false;
        for (Map.Entry<String, List<VmRow>> e : vmsByPool.entrySet()) {
            hasUnfinishedVms |= e.getValue().stream().anyMatch(v -> isUnfinished(wave, v));
            takeOut(wave, e.getKey(), e.getValue()).ifPresent(actions::add);
        }
        if (!hasUnfinishedVms) {
            actions.add(finish(wave));
        }
        return actions;
    }

    private static boolean isUnfinished(WaveRow wave, VmRow vm) {
        return switch (vm.state()) {
            case DRAINING, REBOOTING, RETURNING -> vm.wave().equals(wave.id()) || wave.hasToDo(vm);
            case IN_SERVICE, MOVING, JOINING, FAILED -> wave.hasToDo(vm);
            case OUT -> false;
        };
    }

    private WaveAction finish(WaveRow wave) {
        WaveReport report =
                new WaveReport(Kind.WAVE_DONE, wave.id(), "Wave %s is done.".formatted(wave.id()));
        return new WaveAction.Commit(
                FleetWrite.wave(
                        view.conditions(view.waveUnchanged(wave.id())),
                        wave.enter(WaveState.DONE, "")),
                Optional.of(report));
    }

    private Optional<WaveAction> takeOut(WaveRow wave, String pool, List<VmRow> vms) {
        Versioned<PoolRow> row = view.pools().get(pool);
        if (row == null) {
            return Optional.empty();
        }
        List<VmRow> candidates = candidates(wave, vms);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        PoolBudget budget = PoolBudget.of(row.row(), vms, health, Optional.of(wave), settings, now);
        List<VmRow> chosen = new ArrayList<>();
        for (VmRow v : inRackOrder(candidates, budget)) {
            if (budget.canTakeOut(v)) {
                budget.recordTakenOut(v);
                chosen.add(v);
            }
        }
        return chosen.isEmpty() ? Optional.empty() : Optional.of(commit(wave, row.row(), chosen));
    }

    private List<VmRow> candidates(WaveRow wave, List<VmRow> vms) {
        return vms.stream()
                .filter(v -> v.dataCentre().equals(dataCentre))
                .filter(v -> v.state() == VmState.IN_SERVICE && health.isUp(v.id()))
                .filter(wave::hasToDo)
                .toList();
    }

    /**
     * Sorts the candidates: racks with VMs out for maintenance first, then the rack with the oldest
     * maintenance.
     */
    private static List<VmRow> inRackOrder(List<VmRow> candidates, PoolBudget budget) {
        Map<String, Long> oldest = new HashMap<>();
        for (VmRow v : candidates) {
            oldest.merge(v.rack(), v.maintainedAtMillis(), Math::min);
        }
        Comparator<VmRow> order =
                Comparator.comparing((VmRow v) -> !budget.isRackInMaintenance(v.rack()))
                        .thenComparing(v -> oldest.get(v.rack()))
                        .thenComparing(VmRow::rack)
                        .thenComparing(VmRow::maintainedAtMillis)
                        .thenComparing(VmRow::id);
        return candidates.stream().sorted(order).toList();
    }

    private WaveAction commit(WaveRow wave, PoolRow pool, Collection<VmRow> chosen) {
        List<Condition> conditions =
                new ArrayList<>(
                        view.conditions(
                                view.waveUnchanged(wave.id()), view.poolUnchanged(pool.name())));
        chosen.forEach(v -> conditions.add(view.vmUnchanged(v.id())));
        List<VmRow> rows = chosen.stream().map(v -> v.drainFor(wave.id(), now)).toList();
        String names = String.join(", ", chosen.stream().map(VmRow::id).toList());
        WaveReport report =
                new WaveReport(
                        Kind.TAKEN_OUT,
                        wave.id(),
                        "Wave %s takes VMs out of pool %s: %s."
                                .formatted(wave.id(), pool.name(), names));
        return new WaveAction.Commit(
                new FleetWrite(conditions, rows, List.of(pool.changed()), List.of()),
                Optional.of(report));
    }
}
