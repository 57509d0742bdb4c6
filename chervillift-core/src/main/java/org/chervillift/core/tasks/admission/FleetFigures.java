package org.chervillift.core.tasks.admission;

import java.util.List;
import java.util.Optional;
import org.chervillift.api.tasks.Resources;

/**
 * What a holder knows of the fleet that decides on submissions. What is absent is not known.
 *
 * @param pools the capacity of the pools
 * @param queues the queues of which a job would wait
 */
public record FleetFigures(List<PoolCapacity> pools, List<QueueForecast> queues) {

    /** Nothing is known. */
    public static final FleetFigures UNKNOWN = new FleetFigures(List.of(), List.of());

    public FleetFigures {
        pools = pools == null ? List.of() : List.copyOf(pools);
        queues = queues == null ? List.of() : List.copyOf(queues);
    }

    /**
     * Returns the most that any VM offers of each resource, if it is known. VMs move between pools,
     * so those of all pools count.
     */
    Optional<Resources> largest() {
        return pools.stream().map(PoolCapacity::largest).reduce(Resources::max);
    }

    /** Returns when a job of a queue would start, if that is known. */
    Optional<QueueForecast> forecastOf(String queue) {
        return queues.stream().filter(q -> q.queue().equals(queue)).findFirst();
    }
}
