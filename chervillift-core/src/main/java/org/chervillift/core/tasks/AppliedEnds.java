package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The last ends of runs that were applied at some time and are not acknowledged to their workers.
 *
 * @param byWorker the ends by worker identifier
 */
record AppliedEnds(Map<String, End> byWorker) {

    /** An end that a worker reported in a lifetime. */
    record End(long bornAtMillis, long number) {}

    AppliedEnds {
        byWorker = Map.copyOf(byWorker);
    }

    static AppliedEnds of(Collection<WorkerRecord> workers) {
        Map<String, End> ends = new HashMap<>();
        workers.stream()
                .filter(w -> w.lastAppliedEnd() > w.acknowledgedEnd())
                .forEach(w -> ends.put(w.id(), new End(w.bornAtMillis(), w.lastAppliedEnd())));
        return new AppliedEnds(ends);
    }

    boolean isEmpty() {
        return byWorker.isEmpty();
    }

    /** Acknowledges the ends, so that workers need not report them again. */
    void acknowledge(Map<String, WorkerRecord> workers) {
        byWorker.forEach(
                (id, end) -> {
                    WorkerRecord worker = workers.get(id);
                    if (worker != null && worker.bornAtMillis() == end.bornAtMillis()) {
                        worker.acknowledge(end.number());
                    }
                });
    }
}
