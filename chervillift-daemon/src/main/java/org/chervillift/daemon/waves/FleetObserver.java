package org.chervillift.daemon.waves;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.MaintenanceControl;
import org.chervillift.api.fleet.VmState;
import org.chervillift.api.fleet.VmStatus;
import org.chervillift.api.fleet.WaveState;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.core.fleet.FleetHealth;
import org.chervillift.core.fleet.FleetView;

/** Looks at VMs: asks some of them, and reads the platform's list for the others. */
final class FleetObserver {

    private final Platform platform;
    private final MaintenanceControl control;
    private FleetHealth health = FleetHealth.UNKNOWN;

    FleetObserver(Platform platform, MaintenanceControl control) {
        this.platform = Checks.notNull("platform", platform);
        this.control = Checks.notNull("control", control);
    }

    /**
     * Adds what is seen to rows that were read before, so that it is not older than they are.
     *
     * @param asked the VMs to ask themselves
     * @param now the time at which the look begins
     */
    CompletionStage<FleetView> observe(FleetView rows, List<String> asked, Instant now) {
        return control.status(asked)
                .thenCompose(
                        statuses ->
                                list(rows)
                                        .thenApply(
                                                list -> combine(rows, asked, statuses, list, now)));
    }

    /** The list is long, so it is read only while somebody is out or may be taken out. */
    private CompletionStage<List<ListedVm>> list(FleetView rows) {
        boolean waveRuns =
                rows.waves().values().stream().anyMatch(w -> w.row().state() == WaveState.RUNNING);
        boolean vmOut =
                rows.vms().values().stream().anyMatch(v -> v.row().state() != VmState.IN_SERVICE);
        boolean operator = rows.duty().isEmpty();
        return waveRuns || vmOut || operator
                ? platform.listVms()
                : CompletableFuture.completedFuture(List.of());
    }

    private FleetView combine(
            FleetView rows,
            Collection<String> asked,
            List<VmStatus> statuses,
            List<ListedVm> list,
            Instant now) {
        Map<String, VmStatus> byVm = new HashMap<>();
        statuses.forEach(s -> byVm.put(s.vm(), s));
        Set<String> answering =
                statuses.stream()
                        .filter(VmStatus::accepting)
                        .map(VmStatus::vm)
                        .collect(Collectors.toSet());
        Set<String> askedSet = Set.copyOf(asked);
        Set<String> up = new HashSet<>();
        for (ListedVm l : list) {
            boolean takesWork = !askedSet.contains(l.id()) || answering.contains(l.id());
            if (!l.leaving() && takesWork) {
                up.add(l.id());
            }
        }
        health = health.afterCheck(askedSet, answering, up, now);
        return new FleetView(rows.duty(), rows.vms(), rows.pools(), rows.waves(), health, byVm);
    }
}
