package org.chervillift.daemon.tasks;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Stores the rates of the last surges of the pools, so that the next holder can forecast. */
final class SurgeRateStore {

    static final RowKey ROW_KEY = new RowKey("surges", "peaks");

    /** A smaller change moves hardly any VM, and is not worth a write. */
    private static final double CHANGE_WORTH_A_WRITE = 0.1;

    private static final long WRITE_INTERVAL_MILLIS = 2_000;

    private final HolderContext context;
    private Map<String, Long> stored = Map.of();
    private boolean loaded;
    private boolean writing;
    private boolean stopped;
    private long lastWriteAt;

    /**
     * The stored row.
     *
     * @param pools the last surge of each pool
     */
    private record StoredRates(List<PoolRate> pools) {
        private StoredRates {
            pools = List.copyOf(pools);
        }
    }

    /**
     * The last surge of a pool.
     *
     * @param pool the name of the pool
     * @param milliCores the work that arrived per unit of time, in thousandths of a core
     */
    private record PoolRate(String pool, long milliCores) {}

    SurgeRateStore(HolderContext context) {
        this.context = Checks.notNull("context", context);
    }

    void stop() {
        stopped = true;
    }

    /** Reads the row, if the settings call for forecasts. */
    void load() {
        if (!isEnabled()) {
            loaded = true;
            return;
        }
        RetryingRead.start(
                context.supervision(),
                () -> stopped,
                () -> context.fencedStore().scan(ROW_KEY.table(), KeyRange.ALL),
                page -> {
                    page.rows().stream().findFirst().ifPresent(r -> stored = decode(r.value()));
                    loaded = true;
                });
    }

    /** Decodes the row; without a readable one, surges are followed instead of forecast. */
    private static Map<String, Long> decode(String value) {
        Map<String, Long> rates = new TreeMap<>();
        try {
            Json.decode(value, StoredRates.class)
                    .pools()
                    .forEach(p -> rates.put(p.pool(), p.milliCores()));
        } catch (RuntimeException e) {
            EventLog.log(
                    TaskEvent.ROW_UNREADABLE,
                    Field.of("key", ROW_KEY.key()),
                    Field.of("why", e.getMessage()));
        }
        return rates;
    }

    private boolean isEnabled() {
        return context.settings().pools().forecastSurges();
    }

    /** Returns whether the row has been read. */
    boolean isLoaded() {
        return loaded;
    }

    /** Returns the stored rates by pool, in thousandths of a core. */
    Map<String, Long> stored() {
        return stored;
    }

    /** Stores the rates if they have changed enough; a failed write is made good by a later one. */
    void store(Map<String, Long> rates, long now) {
        if (writing || !hasChanged(rates) || now - lastWriteAt < WRITE_INTERVAL_MILLIS) {
            return;
        }
        writing = true;
        lastWriteAt = now;
        List<PoolRate> list =
                rates.entrySet().stream().map(e -> new PoolRate(e.getKey(), e.getValue())).toList();
        context.supervision()
                .whenAnswered(
                        "surge peaks",
                        context.fencedStore()
                                .commit(Write.put(ROW_KEY, Json.encode(new StoredRates(list)))),
                        (outcome, fault) -> {
                            writing = false;
                            stored = fault == null ? rates : stored;
                        },
                        () -> writing = false);
    }

    private boolean hasChanged(Map<String, Long> rates) {
        return rates.entrySet().stream()
                .anyMatch(
                        e -> {
                            long before = stored.getOrDefault(e.getKey(), 0L);
                            long difference = Math.abs(e.getValue() - before);
                            return difference > before * CHANGE_WORTH_A_WRITE;
                        });
    }
}
