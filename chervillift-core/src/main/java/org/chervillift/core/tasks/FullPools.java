package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.chervillift.api.tasks.Resources;

/**
 * The sizes for which no worker of a pool has room, until the round of planning ends.
 *
 * <p>The load that it addresses: thousands of tasks wait in a full pool of many workers. Room only
 * shrinks during a round, so that one look at all workers answers for each task that is not
 * smaller.
 */
final class FullPools {

    /** The sizes that are remembered of a pool; each is compared with each waiting task. */
    private static final int MAX_SIZES = 16;

    private final Map<String, Map<Resources, Boolean>> fullBySize = new HashMap<>();

    /** Forgets the last round. */
    void beginRound() {
        fullBySize.clear();
    }

    /** Returns whether it is known that no worker has room for a task of a step. */
    boolean isFullFor(StepEntry step) {
        Resources size = step.spec().footprint();
        String pool = step.job().policy().pool();
        for (Map.Entry<Resources, Boolean> known :
                fullBySize.getOrDefault(pool, Map.of()).entrySet()) {
            if (known.getValue() && known.getKey().fitsIn(size)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Finds out whether a task that got no worker got none for want of room on any of them.
     *
     * @param usable whether a worker is not kept free for another task; those that are kept free
     *     stay so until the round ends
     */
    void recordNoWorker(
            StepEntry step, List<WorkerRecord> workers, Predicate<WorkerRecord> usable) {
        Resources size = step.spec().footprint();
        Map<Resources, Boolean> known =
                fullBySize.computeIfAbsent(step.job().policy().pool(), p -> new LinkedHashMap<>());
        if (known.size() < MAX_SIZES && !known.containsKey(size)) {
            known.put(size, workers.stream().filter(w -> w.hasRoomFor(size)).noneMatch(usable));
        }
    }
}
