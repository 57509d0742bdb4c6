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
import org.chervillift.core.tasks.admission.Rejection;

/** The Prometheus metrics of job requests, task decisions, queues and pools. */
final class TaskMetrics {

    private static final double MILLI_UNITS = 1_000;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter answers;
    private final Histogram answerSeconds;
    private final Counter rejections = rejectionCounter(registry);
    private final Counter decisions;
    private final Counter loopFailures;
    private final Counter replacements;
    private final Gauge term;
    private final Gauge poolCores;
    private final Gauge pendingJobs;
    private final WaitMetrics waits = new WaitMetrics(registry);
    private final ShareMetrics shares = new ShareMetrics(registry);
    private final ReadinessMetrics readiness = new ReadinessMetrics(registry);
    private final LeaseMetrics lease = new LeaseMetrics(registry);
    private final EvacuationMetrics evacuation = new EvacuationMetrics(registry);
    private final RelayMetrics relay = new RelayMetrics(registry);

    TaskMetrics() {
        answers =
                Counter.builder()
                        .name("chervillift_job_answers_total")
                        .help("Answers to callers about jobs, by action and answer.")
                        .labelNames("action", "answer")
                        .register(registry);
        answerSeconds =
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
        loopFailures =
                Counter.builder()
                        .name("chervillift_loop_failures_total")
                        .help("Steps, callbacks and calls that threw, by the loop they belong to.")
                        .labelNames("loop")
                        .register(registry);
        replacements =
                Counter.builder()
                        .name("chervillift_holder_replacements_total")
                        .help("Leases that this process gave back since its holder did not work.")
                        .register(registry);
        term =
                Gauge.builder()
                        .name("chervillift_holder_term")
                        .help("The term of this process as holder; 0 while it is not.")
                        .register(registry);
        poolCores =
                Gauge.builder()
                        .name("chervillift_pool_cores")
                        .help("Cores of a pool: running, waiting, capacity, and of its last surge.")
                        .labelNames("pool", "use")
                        .register(registry);
        pendingJobs =
                Gauge.builder()
                        .name("chervillift_queue_pending_jobs")
                        .help("Accepted jobs of which no task has started.")
                        .labelNames("queue")
                        .register(registry);
    }

    private static Counter rejectionCounter(PrometheusRegistry registry) {
        return Counter.builder()
                .name("chervillift_job_rejections_total")
                .help("Submitted jobs that were rejected, by cause.")
                .labelNames("cause")
                .register(registry);
    }

    void countAnswer(JobRequest.Action action, JobAnswer answer, long millis) {
        answers.labelValues(action.name(), answer.getClass().getSimpleName()).inc();
        answerSeconds.labelValues(action.name()).observe(millis / MILLI_UNITS);
    }

    void countRejection(Rejection.Cause cause) {
        rejections.labelValues(cause.name()).inc();
    }

    void countDecision(SchedulerEvent.Kind kind) {
        decisions.labelValues(kind.name()).inc();
    }

    void countReplacement() {
        replacements.inc();
    }

    void countLoopFailure(String loop) {
        loopFailures.labelValues(loop).inc();
    }

    void setTerm(long newTerm) {
        term.set(newTerm);
    }

    /** Removes the series that only a holder can report. */
    void clearHolderMetrics() {
        pendingJobs.clear();
        poolCores.clear();
        waits.clearHolderMetrics();
        evacuation.clearHolderMetrics();
        shares.clearHolderMetrics();
    }

    /** Returns the metric that tells whether this process is ready. */
    ReadinessMetrics readiness() {
        return readiness;
    }

    /** Returns the metrics that tell who holds the lease. */
    LeaseMetrics lease() {
        return lease;
    }

    /** Returns the metrics of the evacuation of data centres. */
    EvacuationMetrics evacuation() {
        return evacuation;
    }

    /** Returns the metrics of the customers that compete for full pools. */
    ShareMetrics shares() {
        return shares;
    }

    /** Returns the metrics of requests that are relayed between entry VMs. */
    RelayMetrics relay() {
        return relay;
    }

    /** Returns the metrics that tell why work waits. */
    WaitMetrics waits() {
        return waits;
    }

    void setPoolLoad(String pool, PoolLoad load) {
        poolCores.labelValues(pool, "running").set(load.runningMilliCores() / MILLI_UNITS);
        poolCores.labelValues(pool, "waiting").set(load.waitingMilliCores() / MILLI_UNITS);
        poolCores.labelValues(pool, "capacity").set(load.capacityMilliCores() / MILLI_UNITS);
    }

    /** Sets the rates of the last surges by pool, in thousandths of a core. */
    void setSurgeRates(Map<String, Long> rates) {
        rates.forEach((p, rate) -> poolCores.labelValues(p, "last_surge").set(rate / MILLI_UNITS));
    }

    /** Sets the pending jobs of the queues, and removes the series of all other queues. */
    void setPendingJobs(Map<String, Integer> queues) {
        pendingJobs.clear();
        queues.forEach((queue, jobs) -> pendingJobs.labelValues(queue).set(jobs));
    }

    /** Returns all metrics in the Prometheus text format. */
    byte[] toPrometheusText() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }
}
