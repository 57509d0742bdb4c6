package org.chervillift.daemon.tasks;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.core.tasks.vms.VmView.PendingOrder;
import org.chervillift.http.Json;

/**
 * Stores which VMs the holder has ordered recently, so that a successor delays orders for only
 * these, and counts orders that are still under way.
 *
 * <p>The VMs are stored before the orders are sent, on condition that no newer holder has taken
 * over. A holder that lost its lease therefore sends no order that its successor does not know of.
 * Ages are measured by the store's clock, which is monotonic and the same for all holders.
 */
final class RecentVmOrders {

    private static final RowKey ROW_KEY = new RowKey("turns", "vms");

    /** Orders are discarded if storing them takes longer than this. */
    private static final long MAX_STORE_MILLIS = 600;

    /** The most by which an order may be sent after its stored time, with a margin. */
    private static final long EXPIRY_MARGIN_MILLIS = 1_000;

    private final HolderContext context;
    private final long handoverDelayMillis;
    private final long handoverEndsAt;
    private final Map<String, OwnOrder> ownOrders = new HashMap<>();
    private Map<String, PredecessorOrder> predecessorOrders = Map.of();
    private boolean unreadable;
    private boolean loaded;
    private boolean stopped;

    /**
     * The stored row.
     *
     * @param turns the recently ordered VMs
     */
    private record StoredOrders(List<StoredOrder> turns) {
        private StoredOrders {
            turns = List.copyOf(turns);
        }
    }

    /**
     * A stored order for a VM.
     *
     * @param vm the name of the VM
     * @param storeMillis when it was stored, by the store's clock, in milliseconds; 0 if unknown
     * @param kind the kind of the order; rows of earlier releases lack it and all that follows
     * @param pool the pool in which the VM was listed before the order
     * @param worker the worker of the VM before the order; empty if it had none
     */
    private record StoredOrder(
            String vm,
            long storeMillis,
            Optional<PendingOrder> kind,
            Optional<String> pool,
            Optional<String> worker) {

        private StoredOrder {
            kind = kind == null ? Optional.empty() : kind;
            pool = pool == null ? Optional.empty() : pool;
            worker = worker == null ? Optional.empty() : worker;
        }

        StoredOrder withoutAge() {
            return new StoredOrder(vm, 0, kind, pool, worker);
        }

        /** Returns whether a VM is listed as it was before the order. */
        boolean isNotInEffect(ListedFleetVm listed) {
            return listed.status() == Status.UP
                    && pool.equals(Optional.of(listed.pool()))
                    && worker.equals(Optional.of(listed.worker()));
        }
    }

    /**
     * An order that is about to be sent.
     *
     * @param vm the VM as it is listed
     * @param kind the kind of the order
     */
    record NewOrder(ListedFleetVm vm, PendingOrder kind) {}

    /** An order of this holder and when it was decided, in milliseconds. */
    private record OwnOrder(NewOrder order, long at) {}

    /**
     * An order that an earlier holder stored.
     *
     * @param stored the order
     * @param until when it expires, by this process's clock, in milliseconds
     * @param seenInEffect whether a list has shown that it was carried out
     */
    private record PredecessorOrder(StoredOrder stored, long until, boolean seenInEffect) {

        PredecessorOrder(StoredOrder stored, long until) {
            this(stored, until, false);
        }

        PredecessorOrder inEffect() {
            return new PredecessorOrder(stored, until, true);
        }
    }

    /** Creates the record of a holder that has just acquired the lease. */
    RecentVmOrders(HolderContext context) {
        this.context = Checks.notNull("context", context);
        this.handoverDelayMillis = context.settings().vmOrderHandoverDelay().toMillis();
        this.handoverEndsAt = context.nowMillis() + handoverDelayMillis;
    }

    /**
     * Reads the orders of earlier holders.
     *
     * @param onLoaded called when they are read
     */
    void load(Runnable onLoaded) {
        RetryingRead.start(
                context.supervision(),
                () -> stopped,
                () -> context.fencedStore().scan(ROW_KEY.table(), KeyRange.ALL),
                page -> {
                    predecessorOrders = new HashMap<>();
                    page.rows().forEach(r -> readOrders(r, page.storeMillis()));
                    loaded = true;
                    onLoaded.run();
                });
    }

    /** Reads a row; if it cannot be read, any VM may have been ordered. */
    private void readOrders(Row row, long storeMillis) {
        try {
            addPredecessorOrders(row, storeMillis);
        } catch (RuntimeException e) {
            unreadable = true;
            StoredProgress.logUnreadable(row.key().key(), e);
        }
    }

    private void addPredecessorOrders(Row row, long storeMillis) {
        boolean isClockSame =
                storeMillis > 0 && row.version() > context.storeClock().get().formerClockVersion();
        for (StoredOrder order : Json.decode(row.value(), StoredOrders.class).turns()) {
            boolean isAgeKnown = isClockSame && order.storeMillis() > 0;
            PredecessorOrder read =
                    isAgeKnown
                            ? new PredecessorOrder(
                                    order,
                                    predecessorOrderEndsAt(storeMillis - order.storeMillis()))
                            : new PredecessorOrder(order.withoutAge(), handoverEndsAt);
            predecessorOrders.put(order.vm(), read);
        }
    }

    /** Returns when an earlier holder's order of an age expires, by this process's clock. */
    private long predecessorOrderEndsAt(long ageMillis) {
        return Math.min(
                handoverEndsAt,
                context.nowMillis() + handoverDelayMillis + EXPIRY_MARGIN_MILLIS - ageMillis);
    }

    void stop() {
        stopped = true;
    }

    boolean isLoaded() {
        return loaded;
    }

    /** Returns whether all orders of earlier holders have expired. */
    boolean isHandoverOver(long now) {
        return now >= handoverEndsAt;
    }

    /** Returns whether an earlier holder may have ordered a VM too recently. */
    boolean mayBeOrderedByPredecessor(String vm, long now) {
        PredecessorOrder order = predecessorOrders.get(vm);
        return unreadable ? now < handoverEndsAt : order != null && now < order.until();
    }

    /**
     * Returns the order of an earlier holder for a VM that may still be carried out: the VM is
     * listed as it was before. Once it is listed otherwise the order is in effect.
     */
    PendingOrder underWay(ListedFleetVm vm, long now) {
        PredecessorOrder order = predecessorOrders.get(vm.name());
        if (order == null || now >= order.until() || order.seenInEffect()) {
            return PendingOrder.NONE;
        }
        if (!order.stored().isNotInEffect(vm)) {
            predecessorOrders.put(vm.name(), order.inEffect());
            return PendingOrder.NONE;
        }
        return order.stored().kind().orElse(PendingOrder.NONE);
    }

    /** Returns the workers, by VM, that an order of an earlier holder under way may end. */
    Map<String, String> workersOfOrdersUnderWay(long now) {
        return predecessorOrders.values().stream()
                .filter(o -> now < o.until() && !o.seenInEffect())
                .map(PredecessorOrder::stored)
                .filter(o -> !o.worker().orElse("").isEmpty())
                .collect(Collectors.toMap(StoredOrder::vm, o -> o.worker().get()));
    }

    /**
     * Stores that VMs are about to be ordered, beside the orders of earlier holders that have not
     * expired: the next holder may come before they have.
     *
     * @return whether the orders may be sent; fails when the call to the store fails
     */
    CompletionStage<Boolean> store(List<NewOrder> orders, long now) {
        long expiryMillis = handoverDelayMillis + EXPIRY_MARGIN_MILLIS;
        ownOrders.values().removeIf(o -> now - o.at() > expiryMillis);
        orders.forEach(o -> ownOrders.put(o.vm().name(), new OwnOrder(o, now)));
        long storedMillis = storeMillisOf(now);
        return context.fencedStore()
                .commit(Write.put(ROW_KEY, Json.encode(unexpiredOrders(now))))
                .thenApply(outcome -> isStoredInTime(outcome, now, storedMillis));
    }

    private StoredOrders unexpiredOrders(long now) {
        Map<String, StoredOrder> orders = new TreeMap<>();
        predecessorOrders.values().stream()
                .filter(o -> now < o.until())
                .forEach(o -> orders.put(o.stored().vm(), o.stored()));
        ownOrders.forEach((vm, own) -> orders.put(vm, stored(own)));
        return new StoredOrders(List.copyOf(orders.values()));
    }

    private StoredOrder stored(OwnOrder own) {
        ListedFleetVm vm = own.order().vm();
        return new StoredOrder(
                vm.name(),
                storeMillisOf(own.at()),
                Optional.of(own.order().kind()),
                Optional.of(vm.pool()),
                Optional.of(vm.worker()));
    }

    /** Returns the latest time of the store's clock at a moment; 0 if unknown. */
    private long storeMillisOf(long at) {
        StoreClock clock = context.storeClock().get();
        return clock.isKnown() ? clock.latestStoreMillis(at) : 0;
    }

    /**
     * Returns whether orders were stored in time, and with a time that is not too early: the
     * store's clock may have changed before this process noticed.
     */
    private boolean isStoredInTime(Outcome outcome, long requestedAt, long storedMillis) {
        if (!(outcome instanceof Outcome.Committed committed)) {
            return false;
        }
        long tookMillis = context.nowMillis() - requestedAt;
        boolean isTimeRight =
                storedMillis == 0 || storedMillis >= committed.storeMillis() - tookMillis;
        return isTimeRight && tookMillis <= MAX_STORE_MILLIS;
    }
}
