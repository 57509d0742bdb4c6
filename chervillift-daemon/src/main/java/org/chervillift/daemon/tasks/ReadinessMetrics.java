package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.chervillift.api.platform.Readiness;

/** The metric that tells whether a process is ready, and why not. */
final class ReadinessMetrics {

    private static final double MILLI_UNITS = 1_000;

    private final Gauge seconds;

    ReadinessMetrics(PrometheusRegistry registry) {
        seconds =
                Gauge.builder()
                        .name("chervillift_readiness_seconds")
                        .help("How long this process has been ready or not, by its state.")
                        .labelNames("state")
                        .register(registry);
    }

    /** Sets the present state; there is no series for the others. */
    void set(Readiness readiness) {
        seconds.clear();
        seconds.labelValues(readiness.state().name())
                .set(readiness.lasted().toMillis() / MILLI_UNITS);
    }
}
