package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Optional;
import org.chervillift.core.tasks.HolderElection.LeaseView;

/** The metrics of each process that tell who holds the lease, and whether it may be taken. */
final class LeaseMetrics {

    private static final double MILLI_UNITS = 1_000;

    private final Gauge unchanged;
    private final Gauge openWrite;

    LeaseMetrics(PrometheusRegistry registry) {
        unchanged =
                Gauge.builder()
                        .name("chervillift_lease_unchanged_seconds")
                        .help("How long this process has seen no change of the lease, by holder.")
                        .labelNames("vm", "term", "standing")
                        .register(registry);
        openWrite =
                Gauge.builder()
                        .name("chervillift_lease_open_write_seconds")
                        .help("How long a write of the lease is unanswered; 0 if there is none.")
                        .register(registry);
    }

    /**
     * Sets what this process knows of the lease.
     *
     * @param view what it knows, or empty before it has read the row
     * @param openWriteMillis how long a write of the lease has not been answered; 0 if none is
     *     under way
     */
    void set(Optional<LeaseView> view, long openWriteMillis) {
        unchanged.clear();
        view.ifPresent(this::set);
        openWrite.set(openWriteMillis / MILLI_UNITS);
    }

    private void set(LeaseView view) {
        unchanged
                .labelValues(view.vm(), Long.toString(view.term()), view.standing().name())
                .set(view.unchangedMillis() / MILLI_UNITS);
    }
}
