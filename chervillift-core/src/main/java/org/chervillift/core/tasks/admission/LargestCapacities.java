package org.chervillift.core.tasks.admission;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WorkerEntry;

/**
 * Keeps the most that VMs of each pool have offered.
 *
 * <p>It never shrinks: a VM that is maintained, powered off, or has less for a time may offer as
 * much again, and a job that it could serve then must not be rejected.
 */
public final class LargestCapacities {

    private final Map<String, Resources> largestByPool = new TreeMap<>();

    /** Adds the figures of an earlier holder. */
    public void restore(FleetFigures figures) {
        figures.pools().forEach(p -> add(p.pool(), p.largest()));
    }

    /** Adds the VMs of a list, and the workers of the registry. */
    public void observe(Collection<ListedFleetVm> vms, Collection<WorkerEntry> workers) {
        vms.forEach(v -> add(v.pool(), v.capacity()));
        workers.forEach(w -> add(w.pool(), w.capacity()));
    }

    private void add(String pool, Resources capacity) {
        largestByPool.merge(pool, capacity, Resources::max);
    }

    /** Returns the capacities of all pools that had VMs. */
    public List<PoolCapacity> toList() {
        return largestByPool.entrySet().stream()
                .map(e -> new PoolCapacity(e.getKey(), e.getValue()))
                .toList();
    }
}
