package org.chervillift.core.tasks.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.SaturatedMath;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.core.tasks.PoolLoad;

/**
 * Calculates the highest rate at which each pool may work off what waits.
 *
 * <p>Counts all VMs of the pool, whatever they do now, and those that may still move there: VMs of
 * standby pools, and what other pools do not need.
 */
public final class PoolRates {

    private PoolRates() {}

    /**
     * Returns the rates by pool, in thousandths of a core.
     *
     * @param loads the load of the pools by name
     * @param finished the rate at which work has been finished lately, by pool
     */
    public static Map<String, Long> highest(
            Collection<ListedFleetVm> vms,
            Map<String, PoolLoad> loads,
            Set<String> standby,
            Map<String, Long> finished) {
        Map<String, Long> cores = new HashMap<>();
        loads.forEach((pool, load) -> cores.put(pool, load.capacityMilliCores()));
        Map<String, Long> listed = new HashMap<>();
        vms.forEach(v -> listed.merge(v.pool(), v.capacity().milliCores(), SaturatedMath::add));
        listed.forEach((pool, sum) -> cores.merge(pool, sum, Math::max));
        long spare = 0;
        for (Map.Entry<String, Long> pool : cores.entrySet()) {
            spare = SaturatedMath.add(spare, spareOf(pool, loads, standby));
        }
        Map<String, Long> rates = new HashMap<>();
        for (Map.Entry<String, Long> pool : cores.entrySet()) {
            long most = SaturatedMath.add(pool.getValue(), spare - spareOf(pool, loads, standby));
            rates.put(pool.getKey(), Math.max(most, finished.getOrDefault(pool.getKey(), 0L)));
        }
        return rates;
    }

    /** Returns the cores of a pool that others may get. */
    private static long spareOf(
            Map.Entry<String, Long> pool, Map<String, PoolLoad> loads, Set<String> standby) {
        PoolLoad load = loads.get(pool.getKey());
        if (load == null || standby.contains(pool.getKey())) {
            return pool.getValue();
        }
        return Math.max(0, pool.getValue() - load.demandMilliCores());
    }
}
