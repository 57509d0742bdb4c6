package org.chervillift.daemon.tasks;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.HolderHealth;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * What the parts of a {@link HolderController} share during one term.
 *
 * @param store the store, with table reads throttled to the link's capacity
 * @param storeClock returns what is known of the store's clock
 * @param fencedStore reads and writes the rows that only the current holder may write
 * @param rows encodes and decodes the rows of the operator and the workers
 * @param workers creates the client of a worker
 * @param vms lists VMs and sends orders for them
 * @param advice the service that selects workers for the queues that require advice, if any
 * @param supervision runs the steps and callbacks of what must go on, and has the timers
 * @param settings the settings
 * @param process the unique name of this process
 * @param maySendOrders returns whether the lease is certain to be held long enough for an order
 * @param operatorCompleteUntil returns up to when all changes of the operator's rows are known
 * @param leaseAge returns the time since the lease was last renewed, in milliseconds
 * @param term the number of the holder's term, which is also its fencing token
 * @param metrics the metrics of this process
 * @param health records that the parts which must go on do so
 */
record HolderContext(
        RowStore store,
        Supplier<StoreClock> storeClock,
        FencedRowStore fencedStore,
        FleetRows rows,
        Function<WorkerEntry, WorkerCalls> workers,
        FleetVms vms,
        Optional<PlacementAdvice> advice,
        Supervision supervision,
        FleetSettings settings,
        String process,
        BooleanSupplier maySendOrders,
        LongSupplier operatorCompleteUntil,
        LongSupplier leaseAge,
        long term,
        TaskMetrics metrics,
        HolderHealth health) {
    HolderContext {
        Checks.notNull("store", store);
        Checks.notNull("storeClock", storeClock);
        Checks.notNull("fencedStore", fencedStore);
        Checks.notNull("rows", rows);
        Checks.notNull("workers", workers);
        Checks.notNull("vms", vms);
        Checks.notNull("advice", advice);
        Checks.notNull("supervision", supervision);
        Checks.notNull("settings", settings);
        Checks.notNull("process", process);
        Checks.notNull("maySendOrders", maySendOrders);
        Checks.notNull("operatorCompleteUntil", operatorCompleteUntil);
        Checks.notNull("metrics", metrics);
        Checks.notNull("health", health);
    }

    /** Returns the monotonic clock and timers. */
    Scheduler scheduler() {
        return supervision.scheduler();
    }

    /** Returns the time since the lease was last renewed, in milliseconds. */
    long leaseAgeMillis() {
        return leaseAge.getAsLong();
    }

    /** Records that a part which must go on has done so. */
    void recordProgress(String part) {
        health.recordProgress(part, nowMillis());
    }

    /** Returns the monotonic clock in milliseconds. */
    long nowMillis() {
        return scheduler().now().toEpochMilli();
    }
}
