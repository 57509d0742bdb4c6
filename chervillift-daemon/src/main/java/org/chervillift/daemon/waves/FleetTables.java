package org.chervillift.daemon.waves;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.fleet.DutyRow;
import org.chervillift.api.fleet.PoolRow;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.fleet.WaveRow;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.Transaction;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.fleet.FleetHealth;
import org.chervillift.core.fleet.FleetView;
import org.chervillift.core.fleet.FleetWrite;
import org.chervillift.core.fleet.Versioned;
import org.chervillift.http.Json;
import org.chervillift.platform.CachingPlatform;
import org.chervillift.platform.StampingPlatform;

/** Reads and writes the fleet's rows on the platform. */
public final class FleetTables {

    private final Platform platform;
    private final Platform cachingPlatform;

    /**
     * Creates the access to the tables on a platform.
     *
     * <p>Each writer to these tables must update their stamps, as {@link StampingPlatform} does,
     * because a table with an unchanged stamp is normally not read again.
     */
    public FleetTables(Platform platform) {
        this.platform = Checks.notNull("platform", platform);
        this.cachingPlatform = new CachingPlatform(platform);
    }

    /** Reads the row of a duty. */
    public CompletionStage<Optional<Versioned<DutyRow>>> readDuty(String name) {
        return platform.read(List.of(DutyRow.key(name)))
                .thenApply(rows -> rows.stream().map(r -> decode(r, DutyRow.class)).findFirst());
    }

    /**
     * Reads the rows of waves, pools and VMs.
     *
     * <p>VMs are read last. So if a pool's row is unchanged at the commit, no VM was taken out of
     * the pool since its VMs were read.
     */
    public CompletionStage<FleetView> readFleet(Optional<Versioned<DutyRow>> duty) {
        return cachingPlatform
                .scan(WaveRow.TABLE)
                .thenCompose(
                        waves ->
                                cachingPlatform
                                        .scan(PoolRow.TABLE)
                                        .thenCompose(
                                                pools ->
                                                        cachingPlatform
                                                                .scan(VmRow.TABLE)
                                                                .thenApply(
                                                                        vms ->
                                                                                toFleetView(
                                                                                        duty, vms,
                                                                                        pools,
                                                                                        waves))));
    }

    private static FleetView toFleetView(
            Optional<Versioned<DutyRow>> duty, List<Row> vms, List<Row> pools, List<Row> waves) {
        return new FleetView(
                duty,
                decodeAll(vms, VmRow.class),
                decodeAll(pools, PoolRow.class),
                decodeAll(waves, WaveRow.class),
                FleetHealth.UNKNOWN,
                Map.of());
    }

    /** Writes the rows if all conditions of the write are met. */
    public CompletionStage<CommitResult> commit(FleetWrite write) {
        List<Write> writes = new ArrayList<>();
        write.vms().forEach(v -> writes.add(Write.put(VmRow.key(v.id()), Json.encode(v))));
        write.pools().forEach(p -> writes.add(Write.put(PoolRow.key(p.name()), Json.encode(p))));
        write.waves().forEach(w -> writes.add(Write.put(WaveRow.key(w.id()), Json.encode(w))));
        return commit(write.conditions(), writes);
    }

    /** Writes the row of a duty if all conditions are met. */
    public CompletionStage<CommitResult> commit(List<Condition> conditions, DutyRow row) {
        Write write = Write.put(DutyRow.key(row.name()), Json.encode(row));
        return commit(conditions, List.of(write));
    }

    private CompletionStage<CommitResult> commit(List<Condition> conditions, List<Write> writes) {
        String token = UUID.randomUUID().toString();
        return platform.commit(new Transaction(token, conditions, writes));
    }

    private static <T> SortedMap<String, Versioned<T>> decodeAll(List<Row> rows, Class<T> type) {
        SortedMap<String, Versioned<T>> decoded = new TreeMap<>();
        for (Row r : rows) {
            decoded.put(r.key().key(), decode(r, type));
        }
        return decoded;
    }

    private static <T> Versioned<T> decode(Row row, Class<T> type) {
        return new Versioned<>(Json.decode(row.value(), type), row.version());
    }
}
