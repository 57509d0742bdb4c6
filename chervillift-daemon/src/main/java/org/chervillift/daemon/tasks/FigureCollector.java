package org.chervillift.daemon.tasks;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.admission.FleetFigures;
import org.chervillift.core.tasks.admission.LargestCapacities;
import org.chervillift.core.tasks.admission.PoolRates;
import org.chervillift.core.tasks.admission.StartForecaster;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Collects the figures of the fleet by which all processes admit or reject jobs. */
final class FigureCollector {

    private final TaskScheduler board;
    private final ManifestTracker manifests;
    private final Supplier<Collection<ListedFleetVm>> listedVms;
    private final LargestCapacities capacities = new LargestCapacities();

    /**
     * Creates a collector.
     *
     * @param listedVms returns the VMs; none until a list has been read
     */
    FigureCollector(
            TaskScheduler board,
            ManifestTracker manifests,
            Supplier<Collection<ListedFleetVm>> listedVms) {
        this.board = Checks.notNull("board", board);
        this.manifests = Checks.notNull("manifests", manifests);
        this.listedVms = Checks.notNull("listedVms", listedVms);
    }

    /** Adds the figures in the row of an earlier holder. */
    void restore(Row row) {
        try {
            capacities.restore(Json.decode(row.value(), PendingCounts.class).figures());
        } catch (RuntimeException e) {
            EventLog.log(
                    TaskEvent.ROW_UNREADABLE,
                    Field.of("key", row.key().key()),
                    Field.of("why", e.getMessage()));
        }
    }

    /** Returns the figures; unknown ones until the capacity of each VM is known from a list. */
    FleetFigures collect(long now) {
        Collection<ListedFleetVm> vms = listedVms.get();
        if (vms.isEmpty() || vms.stream().anyMatch(v -> v.capacity().milliCores() == 0)) {
            return FleetFigures.UNKNOWN;
        }
        capacities.observe(vms, board.listedWorkers());
        Manifest manifest = manifests.manifest().orElseThrow();
        Set<String> standby =
                manifest.pools().keySet().stream()
                        .filter(manifest::isStandby)
                        .collect(Collectors.toSet());
        Map<String, Long> rates =
                PoolRates.highest(
                        vms,
                        board.poolLoads(now),
                        standby,
                        board.backlog().finishedMilliCores(now));
        return new FleetFigures(
                List.copyOf(capacities.toList()),
                StartForecaster.forecast(manifest, rates, board.backlog().waitingWork(now)));
    }
}
