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
 * The writes to rows of VMs and pools that go with a change of configuration.
 *
 * <p>The row of a VM keeps its pool and its state, whatever pool the sheet names.
 */
final class FleetRowChanges {

    private final FleetConfig wanted;
    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Instant now;
    private final List<Transaction.Condition> conditions = new ArrayList<>();
    private final List<Transaction.Write> writes = new ArrayList<>();

    private FleetRowChanges(FleetConfig wanted, List<Row> read, Instant now) {
        this.wanted = wanted;
        this.now = now;
        read.forEach(r -> rows.put(r.key(), r));
    }

    /** Returns the rows that a change touches. */
    static List<RowKey> touched(List<ConfigChange> changes) {
        List<RowKey> keys = new ArrayList<>();
        changes.forEach(c -> key(c).ifPresent(keys::add));
        return keys;
    }

    /** Returns the writes for a change, given the rows that it touches. */
    static FleetRowChanges of(
            List<ConfigChange> changes, FleetConfig wanted, List<Row> read, Instant now) {
        FleetRowChanges result = new FleetRowChanges(wanted, read, now);
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
        Optional<RowKey> key = key(change);
        if (key.isEmpty()) {
            return;
        }
        Optional<Row> row = Optional.ofNullable(rows.get(key.get()));
        if (change instanceof ConfigChange.Removed) {
            row.ifPresent(r -> write(key.get(), r.version(), Optional.empty()));
            return;
        }
        Object value =
                change.kind() == ConfigItem.Kind.VM
                        ? vmRow(change.name(), row)
                        : poolRow(change.name(), row);
        write(key.get(), row.map(Row::version).orElse(0L), Optional.of(Json.encode(value)));
    }

    private void write(RowKey key, long version, Optional<String> value) {
        conditions.add(new Transaction.Condition(key, version));
        writes.add(new Transaction.Write(key, value));
    }

    private VmRow vmRow(String id, Optional<Row> row) {
        VmSpec spec =
                wanted.vms().stream().filter(v -> v.id().equals(id)).findFirst().orElseThrow();
        if (row.isEmpty()) {
            return VmRow.first(spec, now);
        }
        VmRow held = Json.decode(row.get().value(), VmRow.class);
        return new VmRow(
                id,
                held.pool(),
                spec.dataCentre(),
                spec.rack(),
                spec.address(),
                spec.slots(),
                held.state(),
                held.stateSinceMillis(),
                held.epoch(),
                held.maintainedAtMillis(),
                held.wave(),
                held.target());
    }

    private PoolRow poolRow(String name, Optional<Row> row) {
        Pool pool = wanted.pool(name).orElseThrow();
        long changes = row.map(r -> Json.decode(r.value(), PoolRow.class).changes()).orElse(0L);
        return new PoolRow(name, pool.minAvailablePercent(), pool.spare(), changes);
    }

    private static Optional<RowKey> key(ConfigChange change) {
        return switch (change.kind()) {
            case VM -> Optional.of(VmRow.key(change.name()));
            case POOL -> Optional.of(PoolRow.key(change.name()));
            case TEAM, QUEUE, OBJECTIVE -> Optional.empty();
        };
    }
}
