package org.chervillift.api.tasks;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * What a worker says of itself in the registry.
 *
 * @param id the worker's identifier
 * @param bornAtMillis when its lifetime began, in milliseconds since 1970 UTC; 0 if it does not say
 * @param vm the VM that it runs on, or empty if it does not say
 * @param pool the pool
 * @param address host and port
 * @param dataCentre the data centre
 * @param draining whether it leaves soon
 * @param remainingMillis while it drains, the least time that is left
 * @param capacity what it offers to tasks
 * @param labels its kind and its rack
 */
public record WorkerEntry(
        String id,
        long bornAtMillis,
        String vm,
        String pool,
        String address,
        String dataCentre,
        boolean draining,
        long remainingMillis,
        Resources capacity,
        List<String> labels) {
    public WorkerEntry {
        Checks.notBlank("id", id);
        Checks.notNull("vm", vm);
        Checks.notBlank("pool", pool);
        Checks.notBlank("address", address);
        Checks.notNull("dataCentre", dataCentre);
        Checks.notNull("capacity", capacity);
        labels = List.copyOf(labels);
    }
}
