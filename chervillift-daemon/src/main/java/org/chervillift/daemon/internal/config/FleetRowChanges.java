package org.chervillift.daemon.internal.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.config.ConfigChange;
import org.chervillift.core.config.ConfigItem;
import org.chervillift.http.Json;

/**
 * The conditional writes to VM and pool rows that a configuration change requires.
 *
 * <p>An existing VM row keeps its pool and its state, even if the sheet names another pool.
 */
final class FleetRowChanges {

    private final FleetConfig newConfig;
    private final Map<RowKey, Row> currentRows = new HashMap<>();
    private final Instant now;
    private final List<Transaction.Condition> conditions = new ArrayList<>();
    private final List<Transaction.Write> writes = new ArrayList<>();

    private FleetRowChanges(FleetConfig newConfig, List<Row> existingRows, Instant now) {
        this.newConfig = newConfig;
        this.now = now;
        existingRows.forEach(r -> currentRows.put(r.key(), r));
    }

    /** Returns the keys of the VM and pool rows that the changes write or delete. */
    static List<RowKey> affectedKeys(List<ConfigChange> changes) {
        List<RowKey> keys = new ArrayList<>();
        changes.forEach(c -> rowKey(c).ifPresent(keys::add));
        return keys;
    }

    /** Returns the writes for the changes, given the existing rows among {@link #affectedKeys}. */
    static FleetRowChanges of(
            List<ConfigChange> changes,
            FleetConfig newConfig,
            List<Row> existingRows,
            Instant now) {
        FleetRowChanges result = new FleetRowChanges(newConfig, existingRows, now);
        changes.forEach(result::add);
        return result;
    }

    List<Transaction.Condition> conditions() {
        return conditions;
    }

    List<Transaction.Write> writes() {
        return writes;
    }

    private void add(ConfigChange change) {
        Optional<RowKey> key = rowKey(change);
        if (key.isEmpty()) {
            return;
        }
        Optional<Row> row = Optional.ofNullable(currentRows.get(key.get()));
        if (change instanceof ConfigChange.Removed) {
            row.ifPresent(r -> write(key.get(), r.version(), Optional.empty()));
            return;
        }
        Object value =
                change.kind() == ConfigItem.Kind.VM
                        ? newVmRow(change.name(), row)
                        : newPoolRow(change.name(), row);
        write(key.get(), row.map(Row::version).orElse(0L), Optional.of(Json.encode(value)));
    }

    private void write(RowKey key, long version, Optional<String> value) {
        conditions.add(new Transaction.Condition(key, version));
        writes.add(new Transaction.Write(key, value));
    }

    private VmRow newVmRow(String id, Optional<Row> row) {
        VmSpec spec =
                newConfig.vms().stream().filter(v -> v.id().equals(id)).findFirst().orElseThrow();
        if (row.isEmpty()) {
            return VmRow.first(spec, now);
        }
        VmRow current = Json.decode(row.get().value(), VmRow.class);
        return new VmRow(
                id,
                current.pool(),
                spec.dataCentre(),
                spec.rack(),
                spec.address(),
                spec.slots(),
                current.state(),
                current.stateSinceMillis(),
                current.epoch(),
                current.maintainedAtMillis(),
                current.wave(),
                current.target());
    }

    private PoolRow newPoolRow(String name, Optional<Row> row) {
        Pool pool = newConfig.pool(name).orElseThrow();
        long changes = row.map(r -> Json.decode(r.value(), PoolRow.class).changes()).orElse(0L);
        return new PoolRow(name, pool.minAvailablePercent(), pool.spare(), changes);
    }

    private static Optional<RowKey> rowKey(ConfigChange change) {
        return switch (change.kind()) {
            case VM -> Optional.of(VmRow.key(change.name()));
            case POOL -> Optional.of(PoolRow.key(change.name()));
            case TEAM, QUEUE, OBJECTIVE -> Optional.empty();
        };
    }
}
