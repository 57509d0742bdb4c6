package org.chervillift.daemon.tasks;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetRows.OperatorRow;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Keeps the newest manifest and the wave orders of the operator; never goes back a version. */
final class ManifestTracker implements TableFollower.Listener {

    private final FleetRows rows;
    private final List<Runnable> addChangeListener = new ArrayList<>();
    private final Map<Long, WaveOrder> waveOrders = new LinkedHashMap<>();
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

    void addChangeListener(Runnable action) {
        addChangeListener.add(action);
    }

    void removeChangeListener(Runnable action) {
        addChangeListener.remove(action);
    }

    @Override
    public void loaded(List<Row> read) {
        read.forEach(r -> apply(r.key().key(), r.value()));
        List.copyOf(addChangeListener).forEach(Runnable::run);
    }

    @Override
    public void changed(List<Change> changes) {
        changes.forEach(c -> c.value().ifPresent(v -> apply(c.key().key(), v)));
        List.copyOf(addChangeListener).forEach(Runnable::run);
    }

    private void apply(String key, String value) {
        try {
            rows.operatorRow(key, value).ifPresent(this::apply);
        } catch (RuntimeException e) {
            EventLog.log(
                    TaskEvent.ROW_UNREADABLE,
                    Field.of("key", key),
                    Field.of("why", e.getMessage()));
        }
    }

    private void apply(OperatorRow row) {
        switch (row) {
            case OperatorRow.Configuration c -> adopt(c.manifest());
            case OperatorRow.Wave w -> waveOrders.put(w.order().number(), w.order());
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
