package org.chervillift.api.fleet;

import org.chervillift.api.Checks;
import org.chervillift.api.config.Pool;
import org.chervillift.api.platform.RowKey;

/**
 * A pool's availability budget; every transaction that takes a VM out writes this row.
 *
 * <p>Two take-outs of one pool thus conflict, and the second is checked against the first.
 *
 * @param name unique name
 * @param minAvailablePercent the part of the pool's VMs that must stay available, in percent
 * @param spare whether the pool only holds VMs for other pools
 * @param changes grows by one with each VM that becomes unavailable
 */
public record PoolRow(String name, int minAvailablePercent, boolean spare, long changes) {

    /** The table of these rows; the key is the pool's name. */
    public static final String TABLE = "pool";

    private static final int PERCENT = 100;

    public PoolRow {
        Checks.notBlank("name", name);
        Checks.inRange("minAvailablePercent", minAvailablePercent, 0, PERCENT);
        Checks.notNegative("changes", changes);
    }

    /** Returns the first row of a pool that the sheet names. */
    public static PoolRow first(Pool pool) {
        return new PoolRow(pool.name(), pool.minAvailablePercent(), pool.spare(), 0);
    }

    /** Returns the key of a pool's row. */
    public static RowKey key(String name) {
        return new RowKey(TABLE, name);
    }

    /** Returns the row after one more VM became unavailable. */
    public PoolRow changed() {
        return new PoolRow(name, minAvailablePercent, spare, changes + 1);
    }

    /** Returns how many VMs of a pool of that size must stay available. */
    public int required(int size) {
        return (size * minAvailablePercent + PERCENT - 1) / PERCENT;
    }
}
