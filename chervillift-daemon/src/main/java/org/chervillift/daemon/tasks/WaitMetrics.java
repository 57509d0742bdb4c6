package org.chervillift.daemon.tasks;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.OptionalLong;
import org.chervillift.core.tasks.StandstillReport;
import org.chervillift.core.tasks.StandstillReport.StandingJobs;
import org.chervillift.core.tasks.StandstillReport.StartStatus;

/** The metrics of the holder that tell why work waits. */
final class WaitMetrics {

    private static final double MILLI_UNITS = 1_000;

    private final Gauge waitingSteps;
    private final Gauge standingJobs;
    private final Gauge oldestStanding;
    private final Gauge openStarts;
    private final Gauge copyAge;
    private final Gauge holderAge;
    private final Gauge holderReady;

    WaitMetrics(PrometheusRegistry registry) {
        waitingSteps =
                gauge(
                        registry,
                        "chervillift_waiting_steps",
                        "Steps with tasks to start and no run, by why none starts.",
                        "pool",
                        "reason");
        standingJobs =
                gauge(
                        registry,
                        "chervillift_standing_jobs",
                        "Jobs without a run for 3 s although a worker has room, by why.",
                        "pool",
                        "reason");
        oldestStanding =
                gauge(
                        registry,
                        "chervillift_oldest_standing_seconds",
                        "For how long a job of the pool has stood still.",
                        "pool");
        openStarts =
                gauge(
                        registry,
                        "chervillift_open_starts",
                        "Starts that are held until progress is stored, or not answered.",
                        "state");
        copyAge =
                gauge(
                        registry,
                        "chervillift_copy_age_seconds",
                        "How far the holder's copy of a table may lag behind the store.",
                        "table");
        holderAge =
                gauge(
                        registry,
                        "chervillift_holder_age_seconds",
                        "Time since the holder last did something, by what it did.",
                        "of");
        holderReady =
                gauge(
                        registry,
                        "chervillift_holder_ready",
                        "1 once the holder has read all jobs, and 0 before.",
                        "of");
    }

    private static Gauge gauge(
            PrometheusRegistry registry, String name, String help, String... labels) {
        return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    /** Sets what waits and what stands still, and removes the series of all else. */
    void setReport(StandstillReport report) {
        waitingSteps.clear();
        standingJobs.clear();
        oldestStanding.clear();
        report.waiting()
                .forEach(w -> waitingSteps.labelValues(w.pool(), w.reason().name()).set(w.steps()));
        report.standing().forEach(this::setStanding);
    }

    private void setStanding(StandingJobs standing) {
        standingJobs.labelValues(standing.pool(), standing.reason().name()).set(standing.jobs());
        double before = oldestStanding.labelValues(standing.pool()).get();
        double seconds = standing.oldestMillis() / MILLI_UNITS;
        oldestStanding.labelValues(standing.pool()).set(Math.max(before, seconds));
    }

    /** Sets the ages by which the holder decides. */
    void setAges(HolderAges ages) {
        copyAge.labelValues("jobs").set(ages.jobs() / MILLI_UNITS);
        copyAge.labelValues("workers").set(ages.workers() / MILLI_UNITS);
        copyAge.labelValues("operator").set(ages.operator() / MILLI_UNITS);
        setAge("lease", OptionalLong.of(ages.lease()));
        setAge("stored_progress", ages.stored());
    }

    /**
     * Sets whether the holder has read all jobs, for how long it has been the holder, and the time
     * since it last looked for work that stands still.
     */
    void setCheck(boolean ready, long termMillis, OptionalLong checkAge) {
        holderReady.labelValues("jobs").set(ready ? 1 : 0);
        setAge("term", OptionalLong.of(termMillis));
        setAge("standstill_check", checkAge);
    }

    /** Sets how far the orders to start have come. */
    void setStarts(StartStatus starts) {
        openStarts.labelValues("held").set(starts.held());
        openStarts.labelValues("unanswered").set(starts.unanswered());
        setAge("plan", starts.planAge());
        setAge("start_order", starts.orderAge());
        setAge("worker_report", starts.reportAge());
        setAge("oldest_unanswered_start", OptionalLong.of(starts.oldestUnansweredMillis()));
    }

    private void setAge(String of, OptionalLong millis) {
        millis.ifPresent(m -> holderAge.labelValues(of).set(m / MILLI_UNITS));
    }

    /** Removes the series that only a holder can report. */
    void clearHolderMetrics() {
        waitingSteps.clear();
        standingJobs.clear();
        oldestStanding.clear();
        openStarts.clear();
        copyAge.clear();
        holderAge.clear();
        holderReady.clear();
    }
}
