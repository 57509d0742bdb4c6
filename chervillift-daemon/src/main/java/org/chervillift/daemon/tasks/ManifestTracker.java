package org.chervillift.daemon.tasks;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetRows.OperatorRow;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Keeps the newest manifest, the wave orders and the evacuations of the operator; never goes back a
 * version of the manifest.
 */
final class ManifestTracker implements TableFollower.Listener {

    private final FleetRows rows;
    private final List<Runnable> addChangeListener = new ArrayList<>();
    private final Map<Long, WaveOrder> waveOrders = new LinkedHashMap<>();
    private final EvacuationRows evacuations = new EvacuationRows();
    private Optional<Manifest> manifest = Optional.empty();

    ManifestTracker(FleetRows rows) {
        this.rows = Checks.notNull("rows", rows);
    }

    Optional<Manifest> manifest() {
        return manifest;
    }

    Map<Long, WaveOrder> waveOrders() {
        return waveOrders;
    }

    /** Returns the data centres in which no task may be started. */
    Set<String> evacuatedDataCentres() {
        return evacuations.dataCentres();
    }

    void addChangeListener(Runnable action) {
        addChangeListener.add(action);
    }

    void removeChangeListener(Runnable action) {
        addChangeListener.remove(action);
    }

    @Override
    public void loaded(List<Row> read) {
        evacuations.clear();
        read.forEach(r -> apply(r.key().key(), r.value()));
        publish();
    }

    @Override
    public void changed(List<Change> changes) {
        for (Change change : changes) {
            String key = change.key().key();
            change.value().ifPresentOrElse(v -> apply(key, v), () -> evacuations.remove(key));
        }
        publish();
    }

    private void publish() {
        evacuations.publish();
        List.copyOf(addChangeListener).forEach(Runnable::run);
    }

    private void apply(String key, String value) {
        try {
            rows.operatorRow(key, value).ifPresent(r -> apply(key, r));
        } catch (RuntimeException e) {
            EventLog.log(
                    TaskEvent.ROW_UNREADABLE,
                    Field.of("key", key),
                    Field.of("why", e.getMessage()));
        }
    }

    private void apply(String key, OperatorRow row) {
        switch (row) {
            case OperatorRow.Configuration c -> adopt(c.manifest());
            case OperatorRow.Wave w -> waveOrders.put(w.order().number(), w.order());
            case OperatorRow.Evacuation e -> evacuations.put(key, e.dataCentre());
        }
    }

    private void adopt(Manifest newest) {
        long known = manifest.map(Manifest::version).orElse(Long.MIN_VALUE);
        if (newest.version() > known) {
            manifest = Optional.of(newest);
            EventLog.log(
                    TaskEvent.MANIFEST_ADOPTED,
                    Field.of("version", newest.version()),
                    Field.of("before", known),
                    Field.of("routes", newest.routes().size()));
        }
    }
}
