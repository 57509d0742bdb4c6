package org.chervillift.core.tasks;

import java.util.List;
import org.chervillift.core.tasks.placement.WorkerSpeed;

/** Compares the speeds of the workers of a pool. */
final class PoolSpeeds {

    private PoolSpeeds() {}

    /** Marks the workers that are clearly slower than the median of their pool. */
    static void apply(List<WorkerRecord> pool) {
        double[] known =
                pool.stream()
                        .map(WorkerRecord::speed)
                        .filter(WorkerSpeed::isKnown)
                        .mapToDouble(WorkerSpeed::factor)
                        .toArray();
        double median = WorkerSpeed.median(known);
        pool.forEach(w -> w.slowness(w.speed().slowness(median)));
    }
}
