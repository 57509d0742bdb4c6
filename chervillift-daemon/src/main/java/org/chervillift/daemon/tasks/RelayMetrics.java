package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.chervillift.core.tasks.relay.RelayResult;

/** The metrics of requests that are relayed between entry VMs. */
final class RelayMetrics {

    /** The outcome of a request that was not relayed, since no peer could be tried. */
    private static final String NOT_TRIED = "NOT_TRIED";

    private final Counter relayed;
    private final Counter handled;

    RelayMetrics(PrometheusRegistry registry) {
        relayed =
                Counter.builder()
                        .name("chervillift_relayed_requests_total")
                        .help("Tries to relay a request to another entry VM, by outcome.")
                        .labelNames("outcome")
                        .register(registry);
        handled =
                Counter.builder()
                        .name("chervillift_relay_handled_total")
                        .help("Requests of other entry VMs that this process handled.")
                        .register(registry);
    }

    void countTry(RelayResult result) {
        relayed.labelValues(result.name()).inc();
    }

    void countNotTried() {
        relayed.labelValues(NOT_TRIED).inc();
    }

    void countHandled() {
        handled.inc();
    }
}
