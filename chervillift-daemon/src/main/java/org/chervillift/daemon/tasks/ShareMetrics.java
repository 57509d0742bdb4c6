package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Map;

/** The metrics of the customers that compete for full pools. */
final class ShareMetrics {

    private final Gauge beyondShare;

    ShareMetrics(PrometheusRegistry registry) {
        beyondShare =
                Gauge.builder()
                        .name("chervillift_customers_beyond_share")
                        .help("Customers beyond their share of a pool in which customers compete.")
                        .labelNames("pool")
                        .register(registry);
    }

    /** Sets the customers beyond their share by pool, and removes the series of other pools. */
    void setCustomersBeyondShare(Map<String, Integer> pools) {
        beyondShare.clear();
        pools.forEach((pool, customers) -> beyondShare.labelValues(pool).set(customers));
    }

    /** Removes the series that only a holder can report. */
    void clearHolderMetrics() {
        beyondShare.clear();
    }
}
