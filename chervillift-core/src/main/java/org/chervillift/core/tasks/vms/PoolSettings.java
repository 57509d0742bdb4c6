package org.chervillift.core.tasks.vms;

import org.chervillift.api.Checks;

/**
 * How eagerly VMs move between pools.
 *
 * @param returnAfterMillis how long a pool has not needed a VM before it goes to standby; moving a
 *     VM away and back costs about as much as keeping it idle for this long
 * @param lendAfterMillis how long a pool has not needed a VM before a pool that is short gets it
 * @param minHomeShare the share of its home size that an idle pool keeps for its next surge
 * @param forecastSurges whether a pool gets VMs for a surge of the size of its last one as soon as
 *     a surge begins
 */
public record PoolSettings(
        long returnAfterMillis, long lendAfterMillis, double minHomeShare, boolean forecastSurges) {

    /** The settings of a deployment that sets none. */
    public static final PoolSettings DEFAULT = new PoolSettings(2_300, 600, 0.34, false);

    public PoolSettings {
        Checks.notNegative("returnAfterMillis", returnAfterMillis);
        Checks.notNegative("lendAfterMillis", lendAfterMillis);
    }
}
