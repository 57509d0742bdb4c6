package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.SchedulerEvent;

/** Counts what callers are told and what is decided on tasks. */
final class TaskMetrics {

    private static final double MILLIS_PER_SECOND = 1_000;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter answers;
    private final Histogram seconds;
    private final Counter decisions;
    private final Gauge term;
    private final Gauge cores;
    private final Gauge pending;

    TaskMetrics() {
        answers =
                Counter.builder()
                        .name("chervillift_job_answers_total")
                        .help("Answers to callers about jobs, by action and answer.")
                        .labelNames("action", "answer")
                        .register(registry);
        seconds =
                Histogram.builder()
                        .name("chervillift_job_answer_seconds")
                        .help("Time from a request about a job to its answer.")
                        .labelNames("action")
                        .classicOnly()
                        .register(registry);
        decisions =
                Counter.builder()
                        .name("chervillift_task_decisions_total")
                        .help("Decisions on tasks and workers, by kind.")
                        .labelNames("decision")
                        .register(registry);
        term =
                Gauge.builder()
                        .name("chervillift_holder_term")
                        .help("The term of this process as holder; 0 while it is not.")
                        .register(registry);
        cores =
                Gauge.builder()
                        .name("chervillift_pool_cores")
                        .help("Cores of a pool that run tasks, are waited for, and exist.")
                        .labelNames("pool", "use")
                        .register(registry);
        pending =
                Gauge.builder()
                        .name("chervillift_queue_pending_jobs")
                        .help("Accepted jobs of which no task has started.")
                        .labelNames("queue")
                        .register(registry);
    }

    void answered(JobRequest.Action action, JobAnswer answer, long millis) {
        answers.labelValues(action.name(), answer.getClass().getSimpleName()).inc();
        seconds.labelValues(action.name()).observe(millis / MILLIS_PER_SECOND);
    }

    void decided(SchedulerEvent.Kind kind) {
        decisions.labelValues(kind.name()).inc();
    }

    void holds(long newTerm) {
        term.set(newTerm);
    }

    /** Shows nothing any more of what only a holder knows. */
    void holderStopped() {
        pending.clear();
        cores.clear();
    }

    void load(String pool, PoolLoad load) {
        cores.labelValues(pool, "running").set(load.runningMilliCores() / MILLIS_PER_SECOND);
        cores.labelValues(pool, "waiting").set(load.waitingMilliCores() / MILLIS_PER_SECOND);
        cores.labelValues(pool, "capacity").set(load.capacityMilliCores() / MILLIS_PER_SECOND);
    }

    /** Shows the queues in which jobs wait now, and no others. */
    void pending(Map<String, Integer> queues) {
        pending.clear();
        queues.forEach((queue, jobs) -> pending.labelValues(queue).set(jobs));
    }

    /** Returns all metrics in the text format of Prometheus. */
    byte[] text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
