package org.chervillift.daemon.internal;

import io.activej.http.HttpResponse;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the responses to callers. */
public final class RequestMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter responseCounter;
    private final Histogram durationSeconds;

    /** Registers the metrics. */
    public RequestMetrics(PrometheusRegistry registry) {
        responseCounter =
                Counter.builder()
                        .name("chervillift_answers_total")
                        .help("Answers to callers, by HTTP status and verdict.")
                        .labelNames("status", "verdict")
                        .register(registry);
        durationSeconds =
                Histogram.builder()
                        .name("chervillift_answer_seconds")
                        .help("Time from the first line of a request to its answer.")
                        .classicOnly()
                        .register(registry);
    }

    /** Records a response and the time that it took. */
    public void recordResponse(HttpResponse response, long elapsedNanos) {
        String verdict = response.getHeader(CallerHttpResponses.VERDICT_HEADER);
        responseCounter
                .labelValues(String.valueOf(response.getCode()), String.valueOf(verdict))
                .inc();
        durationSeconds.observe(elapsedNanos / NANOS_PER_SECOND);
    }
}
