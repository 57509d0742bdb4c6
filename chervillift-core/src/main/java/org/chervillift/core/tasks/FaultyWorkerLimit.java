package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Bounds how many workers of a pool get no tasks because runs on them fail or stand still.
 *
 * <p>Whether the worker or the job is at fault is a presumption. A few jobs whose runs fail or
 * stand still everywhere would make all workers of their pool look faulty, and keep all other jobs
 * of the pool waiting.
 */
final class FaultyWorkerLimit {

    /** One worker of this many in a pool may be presumed faulty, and one in any case. */
    private static final int WORKERS_PER_FAULTY_ONE = 2;

    private FaultyWorkerLimit() {}

    /** Lets workers of a pool get tasks again, those first whose time is over soonest. */
    static void apply(Collection<WorkerRecord> pool, long now) {
        List<WorkerRecord> faulty =
                pool.stream()
                        .filter(w -> w.isPresumedFaulty(now))
                        .sorted(Comparator.comparingLong(WorkerRecord::presumedFaultyUntil))
                        .toList();
        if (faulty.isEmpty()) {
            return;
        }
        long sound = pool.stream().filter(w -> w.acceptsTasks(now)).count();
        long mostFaulty = Math.max(1, (faulty.size() + sound) / WORKERS_PER_FAULTY_ONE);
        faulty.stream()
                .limit(Math.max(0, faulty.size() - mostFaulty))
                .forEach(WorkerRecord::presumeSound);
    }
}
