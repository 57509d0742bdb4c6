package org.chervillift.api.config;

import org.chervillift.api.Checks;

/**
 * A pool of VMs.
 *
 * @param name unique name
 * @param minAvailablePercent availability budget: the part of the pool's VMs that must stay
 *     available, in percent
 * @param spare whether the pool only holds VMs for other pools
 */
public record Pool(String name, int minAvailablePercent, boolean spare) {
    public Pool {
        Checks.notBlank("name", name);
        Checks.inRange("minAvailablePercent", minAvailablePercent, 0, 100);
    }
}
