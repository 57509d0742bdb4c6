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
import org.chervillift.runtime.supervision.Scheduler;

/**
 * What the holder's parts work with.
 *
 * @param store the store, read no faster than the link bears
 * @param storeClock what the store's answers told of its clock
 * @param own the rows that only the holder writes
 * @param rows the rows of the operator and the workers
 * @param workers opens the connections to a worker
 * @param vms operates on VMs
 * @param advice the service that names the workers of advised queues, if there is one
 * @param scheduler clock and timers
 * @param settings the settings
 * @param process the name of this process
 * @param maySendOrders whether no other process can hold the lease now
 * @param leaseAge how long ago the lease was renewed, in milliseconds
 * @param term the holder's term
 * @param metrics counts what is decided
 */
record HolderContext(
        RowStore store,
        Supplier<StoreClock> storeClock,
        OwnRows own,
        FleetRows rows,
        Function<WorkerEntry, WorkerCalls> workers,
        FleetVms vms,
        Optional<PlacementAdvice> advice,
        Scheduler scheduler,
        FleetSettings settings,
        String process,
        BooleanSupplier maySendOrders,
        LongSupplier leaseAge,
        long term,
        TaskMetrics metrics) {
    HolderContext {
        Checks.notNull("store", store);
        Checks.notNull("storeClock", storeClock);
        Checks.notNull("own", own);
        Checks.notNull("rows", rows);
        Checks.notNull("workers", workers);
        Checks.notNull("vms", vms);
        Checks.notNull("advice", advice);
        Checks.notNull("scheduler", scheduler);
        Checks.notNull("settings", settings);
        Checks.notNull("process", process);
        Checks.notNull("maySendOrders", maySendOrders);
        Checks.notNull("metrics", metrics);
    }

    /** Returns how long ago the lease was renewed, in milliseconds. */
    long leaseAgeMillis() {
        return leaseAge.getAsLong();
    }

    /** Returns the steady time in milliseconds. */
    long now() {
        return scheduler.now().toEpochMilli();
    }
}
