package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Set;

/** The metrics of the evacuation of data centres. */
final class EvacuationMetrics {

    private final Gauge dataCentres;
    private final Gauge pools;
    private final Counter moves;

    EvacuationMetrics(PrometheusRegistry registry) {
        dataCentres =
                Gauge.builder()
                        .name("chervillift_evacuated_data_centres")
                        .help("Data centres that the operator has evacuated, as read here.")
                        .register(registry);
        pools =
                Gauge.builder()
                        .name("chervillift_evacuated_pool")
                        .help("1 for each pool whose workers are all in evacuated data centres.")
                        .labelNames("pool")
                        .register(registry);
        moves =
                Counter.builder()
                        .name("chervillift_evacuation_moves_total")
                        .help("Runs stopped so that their tasks move out of a data centre.")
                        .register(registry);
    }

    void setDataCentres(int count) {
        dataCentres.set(count);
    }

    /** Sets the pools without a worker elsewhere, and removes the series of all others. */
    void setPools(Set<String> names) {
        pools.clear();
        names.forEach(p -> pools.labelValues(p).set(1));
    }

    void countMove() {
        moves.inc();
    }

    /** Removes the series that only a holder can report. */
    void clearHolderMetrics() {
        pools.clear();
    }
}
