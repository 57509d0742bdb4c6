package org.chervillift.api.tasks;

import org.chervillift.api.Checks;

/**
 * What the operator says of a pool.
 *
 * @param name the pool
 * @param guardsCapacity whether its workers refuse what does not fit
 * @param standby whether its VMs are off and cost nothing
 */
public record PoolPolicy(String name, boolean guardsCapacity, boolean standby) {
    public PoolPolicy {
        Checks.notBlank("name", name);
    }
}
