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

/**
 * Checks the health of VMs: asks some of them directly, and reads the platform's list for the
 * others.
 */
final class FleetObserver {

    private final Platform platform;
    private final MaintenanceControl control;
    private FleetHealth health = FleetHealth.UNKNOWN;

    FleetObserver(Platform platform, MaintenanceControl control) {
        this.platform = Checks.notNull("platform", platform);
        this.control = Checks.notNull("control", control);
    }

    /**
     * Adds the health of the VMs to rows that were read before, so that the health is not older
     * than the rows.
     *
     * @param checkedVms the VMs to ask directly
     * @param now the time at which the check begins
     */
    CompletionStage<FleetView> observe(FleetView rows, List<String> checkedVms, Instant now) {
        return control.status(checkedVms)
                .thenCompose(
                        statuses ->
                                listVmsIfNeeded(rows)
                                        .thenApply(
                                                listedVms ->
                                                        combine(
                                                                rows,
                                                                checkedVms,
                                                                statuses,
                                                                listedVms,
                                                                now)));
    }

    /**
     * Reads the platform's list of VMs. Because the list is long, it is read only while a VM is out
     * of service or may be taken out, or for an operator's command.
     */
    private CompletionStage<List<ListedVm>> listVmsIfNeeded(FleetView rows) {
        boolean waveRunning =
                rows.waves().values().stream().anyMatch(w -> w.row().state() == WaveState.RUNNING);
        boolean vmOut =
                rows.vms().values().stream().anyMatch(v -> v.row().state() != VmState.IN_SERVICE);
        boolean operatorCommand = rows.duty().isEmpty();
        return waveRunning || vmOut || operatorCommand
                ? platform.listVms()
                : CompletableFuture.completedFuture(List.of());
    }

    private FleetView combine(
            FleetView rows,
            Collection<String> checkedVms,
            List<VmStatus> statuses,
            List<ListedVm> listedVms,
            Instant now) {
        Map<String, VmStatus> byVm = new HashMap<>();
        statuses.forEach(s -> byVm.put(s.vm(), s));
        Set<String> accepting =
                statuses.stream()
                        .filter(VmStatus::accepting)
                        .map(VmStatus::vm)
                        .collect(Collectors.toSet());
        Set<String> checkedSet = Set.copyOf(checkedVms);
        Set<String> up = new HashSet<>();
        for (ListedVm l : listedVms) {
            boolean mayAccept = !checkedSet.contains(l.id()) || accepting.contains(l.id());
            if (!l.leaving() && mayAccept) {
                up.add(l.id());
            }
        }
        health = health.afterCheck(checkedSet, accepting, up, now);
        return new FleetView(rows.duty(), rows.vms(), rows.pools(), rows.waves(), health, byVm);
    }
}
