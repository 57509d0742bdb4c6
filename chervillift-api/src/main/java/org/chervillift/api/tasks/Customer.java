package org.chervillift.api.tasks;

import java.util.Set;
import org.chervillift.api.Checks;

/**
 * A customer, with the keys that are in force.
 *
 * @param name the name
 * @param keys the keys
 * @param weight the share when a pool is full, relative to other customers; one that is not a
 *     positive number counts as 1
 * @param limit what may run for it at once; a zero sets no bound
 */
public record Customer(String name, Set<String> keys, double weight, Resources limit) {

    /** The weight of a customer without a valid one. */
    public static final double DEFAULT_WEIGHT = 1;

    public Customer {
        Checks.notBlank("name", name);
        keys = Set.copyOf(keys);
        weight = weight > 0 && Double.isFinite(weight) ? weight : DEFAULT_WEIGHT;
        Checks.notNull("limit", limit);
    }
}
