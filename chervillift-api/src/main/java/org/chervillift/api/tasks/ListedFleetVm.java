package org.chervillift.api.tasks;

import java.util.List;
import org.chervillift.api.Checks;

/**
 * A VM of the fleet as the platform lists it.
 *
 * @param name the VM
 * @param pool the pool that it is in
 * @param status what it does
 * @param dataCentre the data centre
 * @param labels its kind and its rack
 * @param capacity what it offers
 * @param worker the identifier of its worker, or empty
 */
public record ListedFleetVm(
        String name,
        String pool,
        Status status,
        String dataCentre,
        List<String> labels,
        Resources capacity,
        String worker) {

    /** What a VM does. */
    public enum Status {
        /** It runs a worker. */
        UP,
        /** It goes to another pool. */
        MOVING,
        /** It is maintained. */
        MAINTENANCE,
        /** It does not run. */
        DOWN
    }

    public ListedFleetVm {
        Checks.notBlank("name", name);
        Checks.notBlank("pool", pool);
        Checks.notNull("status", status);
        Checks.notNull("dataCentre", dataCentre);
        labels = List.copyOf(labels);
        Checks.notNull("capacity", capacity);
        Checks.notNull("worker", worker);
    }
}
