package org.chervillift.daemon.internal;

import io.activej.http.HttpResponse;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts callers' requests. */
public final class RequestMetrics {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Counter answers;
    private final Histogram seconds;

    /** Registers the metrics. */
    public RequestMetrics(PrometheusRegistry registry) {
        answers =
                Counter.builder()
                        .name("chervillift_answers_total")
                        .help("Answers to callers, by HTTP status and verdict.")
                        .labelNames("status", "verdict")
                        .register(registry);
        seconds =
                Histogram.builder()
                        .name("chervillift_answer_seconds")
                        .help("Time from the first line of a request to its answer.")
                        .classicOnly()
                        .register(registry);
    }

    /** Notes an answer. */
    public void answered(HttpResponse response, long nanos) {
        String verdict = response.getHeader(CallerAnswers.VERDICT);
        answers.labelValues(String.valueOf(response.getCode()), String.valueOf(verdict)).inc();
        seconds.observe(nanos / NANOS_PER_SECOND);
    }
}
