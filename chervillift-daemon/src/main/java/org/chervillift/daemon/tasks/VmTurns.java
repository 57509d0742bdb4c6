package org.chervillift.daemon.tasks;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.http.Json;

/**
 * Keeps which VMs the holder orders, so that a successor waits with its orders for just these.
 *
 * <p>The VMs are stored before the orders go out, under the condition that the term is still the
 * own one. A holder that lost its lease therefore orders nothing that its successor does not know.
 * Ages are told by the store's clock, which is steady and the same for all holders.
 */
final class VmTurns {

    private static final RowKey KEY = new RowKey("turns", "vms");

    /** Orders that take longer than this to be stored are not sent. */
    private static final long MOST_ANNOUNCE_MILLIS = 600;

    /** What an order may be younger than its stored time, with some reserve. */
    private static final long MARGIN_MILLIS = 1_000;

    private final HolderContext context;
    private final long turnMillis;
    private final long waitUntil;
    private final Map<String, Long> ordered = new HashMap<>();
    private Map<String, Long> othersUntil = Map.of();
    private StoreClock clock = StoreClock.UNKNOWN;
    private boolean loaded;
    private boolean stopped;

    /**
     * What is stored.
     *
     * @param turns the VMs that were ordered of late
     */
    private record Stored(List<Turn> turns) {
        private Stored {
            turns = List.copyOf(turns);
        }
    }

    /**
     * An order for a VM.
     *
     * @param vm the VM
     * @param storeMillis when it was stored, by the store's clock
     */
    private record Turn(String vm, long storeMillis) {}

    /** Creates the keeper of a holder that has just taken its lease. */
    VmTurns(HolderContext context) {
        this.context = Checks.notNull("context", context);
        this.turnMillis = context.settings().takeTurnsAfter().toMillis();
        this.waitUntil = context.now() + turnMillis;
    }

    /** Reads what an earlier holder ordered. */
    void load() {
        FirstRead.until(
                context.scheduler(),
                () -> stopped,
                () -> context.own().scan(KEY.table(), KeyRange.ALL),
                page -> {
                    clock = new StoreClock(page.storeMillis(), context.now());
                    othersUntil =
                            page.rows().stream()
                                    .map(r -> Json.decode(r.value(), Stored.class))
                                    .flatMap(s -> s.turns().stream())
                                    .collect(Collectors.toMap(Turn::vm, this::turnOverAt));
                    loaded = true;
                });
    }

    /** Returns when an earlier holder's order does not count any more, by the own clock. */
    private long turnOverAt(Turn turn) {
        if (!clock.isKnown() || turn.storeMillis() == 0) {
            return waitUntil;
        }
        long age = clock.storeMillis() - turn.storeMillis();
        return Math.min(waitUntil, clock.seenAt() + turnMillis + MARGIN_MILLIS - age);
    }

    void stop() {
        stopped = true;
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Returns whether the time is over in which any order of an earlier holder may count. */
    boolean isWaitOver(long now) {
        return now >= waitUntil;
    }

    /** Returns whether an earlier holder may have ordered a VM too short a time ago. */
    boolean isOthersTurn(String vm, long now) {
        return now < othersUntil.getOrDefault(vm, Long.MIN_VALUE);
    }

    /**
     * Stores that VMs will be ordered.
     *
     * @return whether the orders may go out; it fails when the store does not answer well
     */
    CompletionStage<Boolean> announce(Set<String> vms, long now) {
        ordered.values().removeIf(at -> now - at > turnMillis + MARGIN_MILLIS);
        vms.forEach(vm -> ordered.put(vm, now));
        List<Turn> turns =
                new TreeMap<>(ordered)
                        .entrySet().stream()
                                .map(e -> new Turn(e.getKey(), storeTime(e.getValue())))
                                .toList();
        return context.own()
                .commit(Write.put(KEY, Json.encode(new Stored(turns))))
                .thenApply(outcome -> isAnnounced(outcome, now));
    }

    private long storeTime(long at) {
        return clock.isKnown() ? clock.at(at) : 0;
    }

    private boolean isAnnounced(Outcome outcome, long askedAt) {
        if (!(outcome instanceof Outcome.Committed committed)) {
            return false;
        }
        clock = new StoreClock(committed.storeMillis(), context.now());
        return context.now() - askedAt <= MOST_ANNOUNCE_MILLIS;
    }
}
