package org.chervillift.daemon.tasks;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.http.Json;

/** Stores the number of VMs that each pool had when the fleet was first listed. */
final class InitialPoolSizes {

    private static final RowKey ROW_KEY = new RowKey("pools", "home");

    private final HolderContext context;
    private Optional<Map<String, Integer>> sizes = Optional.empty();
    private boolean loaded;
    private boolean writing;
    private boolean stopped;

    /**
     * The stored row.
     *
     * @param pools the size of each pool
     */
    private record StoredSizes(List<PoolSize> pools) {
        private StoredSizes {
            pools = List.copyOf(pools);
        }
    }

    /**
     * The size of a pool.
     *
     * @param pool the name of the pool
     * @param vms the number of VMs
     */
    private record PoolSize(String pool, int vms) {}

    InitialPoolSizes(HolderContext context) {
        this.context = Checks.notNull("context", context);
    }

    void stop() {
        stopped = true;
    }

    void load() {
        RetryingRead.start(
                context.supervision(),
                () -> stopped,
                () -> context.fencedStore().scan(ROW_KEY.table(), KeyRange.ALL),
                page -> {
                    page.rows().stream()
                            .findFirst()
                            .map(r -> Json.decode(r.value(), StoredSizes.class))
                            .ifPresent(s -> sizes = Optional.of(toMap(s)));
                    loaded = true;
                });
    }

    private static Map<String, Integer> toMap(StoredSizes stored) {
        return stored.pools().stream().collect(Collectors.toMap(PoolSize::pool, PoolSize::vms));
    }

    /** Stores the pool sizes of this list, unless sizes have been stored before. */
    void recordFirst(List<ListedFleetVm> vms) {
        if (!loaded || writing || sizes.isPresent() || vms.isEmpty()) {
            return;
        }
        Map<String, Integer> counted =
                vms.stream().collect(Collectors.toMap(ListedFleetVm::pool, v -> 1, Integer::sum));
        List<PoolSize> list =
                counted.entrySet().stream()
                        .map(e -> new PoolSize(e.getKey(), e.getValue()))
                        .toList();
        writing = true;
        context.supervision()
                .whenAnswered(
                        "pool sizes",
                        context.fencedStore()
                                .commit(
                                        List.of(new Condition(ROW_KEY, 0)),
                                        List.of(
                                                Write.put(
                                                        ROW_KEY,
                                                        Json.encode(new StoredSizes(list))))),
                        (outcome, fault) -> {
                            writing = false;
                            if (!stopped) {
                                load();
                            }
                        },
                        () -> {});
    }

    boolean isKnown() {
        return sizes.isPresent();
    }

    Map<String, Integer> sizes() {
        return sizes.orElseThrow();
    }
}
