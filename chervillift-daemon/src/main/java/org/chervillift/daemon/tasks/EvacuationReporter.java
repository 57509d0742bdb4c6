package org.chervillift.daemon.tasks;

import java.util.HashSet;
import java.util.Set;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.Evacuation;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Logs, once each, evacuations without effect and pools that they leave without a worker. */
final class EvacuationReporter {

    private final EvacuationMetrics metrics;
    private Set<Finding> reported = Set.of();

    /** What is found about an evacuation. */
    private enum Problem {
        /** No listed worker is in a data centre of this name. */
        NO_WORKER_IN_DATA_CENTRE,
        /** All listed workers of the pool are in evacuated data centres. */
        POOL_WITHOUT_OTHER_WORKER
    }

    private record Finding(Problem problem, String name) {}

    EvacuationReporter(EvacuationMetrics metrics) {
        this.metrics = Checks.notNull("metrics", metrics);
    }

    /** Looks at an evacuation; to be called while all workers are known. */
    void check(Evacuation evacuation) {
        Set<String> pools = evacuation.poolsWithoutOtherWorkers();
        metrics.setPools(pools);
        Set<Finding> found = new HashSet<>();
        pools.forEach(p -> found.add(new Finding(Problem.POOL_WITHOUT_OTHER_WORKER, p)));
        evacuation
                .dataCentresWithoutWorkers()
                .forEach(d -> found.add(new Finding(Problem.NO_WORKER_IN_DATA_CENTRE, d)));
        found.stream().filter(f -> !reported.contains(f)).forEach(EvacuationReporter::log);
        reported = found;
    }

    private static void log(Finding finding) {
        EventLog.log(
                TaskEvent.EVACUATION_FINDING,
                Field.of("problem", finding.problem()),
                Field.of("name", finding.name()));
    }
}
