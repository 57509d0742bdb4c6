package org.chervillift.core.tasks.admission;

import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Resources;

/**
 * The most that a VM of a pool has offered of each resource; one VM need not have offered all.
 *
 * @param pool the pool
 * @param largest the most of each resource
 */
public record PoolCapacity(String pool, Resources largest) {
    public PoolCapacity {
        Checks.notBlank("pool", pool);
        Checks.notNull("largest", largest);
    }
}
