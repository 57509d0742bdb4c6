package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.admission.Rejection;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Counts rejected submissions, and logs when rejections begin, continue and end. */
final class RejectionLog {

    /** At most one line for each cause in this time; rejections have ended after it without one. */
    private static final Duration LOG_INTERVAL = Duration.ofSeconds(10);

    private final Scheduler scheduler;
    private final TaskMetrics metrics;
    private final Map<Rejection.Cause, Integer> unlogged = new EnumMap<>(Rejection.Cause.class);

    RejectionLog(Scheduler scheduler, TaskMetrics metrics) {
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.metrics = Checks.notNull("metrics", metrics);
    }

    /** Records a rejection. */
    void record(Rejection.Cause cause, String queue) {
        metrics.countRejection(cause);
        boolean goesOn = unlogged.containsKey(cause);
        unlogged.merge(cause, goesOn ? 1 : 0, Integer::sum);
        if (!goesOn) {
            EventLog.log(
                    TaskEvent.SUBMISSIONS_REJECTED,
                    Field.of("cause", cause),
                    Field.of("jobs", 1),
                    Field.of("queue", queue));
            scheduler.schedule(LOG_INTERVAL, () -> logInterval(cause));
        }
    }

    private void logInterval(Rejection.Cause cause) {
        int jobs = unlogged.remove(cause);
        if (jobs == 0) {
            EventLog.log(TaskEvent.REJECTIONS_ENDED, Field.of("cause", cause));
            return;
        }
        EventLog.log(
                TaskEvent.SUBMISSIONS_REJECTED, Field.of("cause", cause), Field.of("jobs", jobs));
        unlogged.put(cause, 0);
        scheduler.schedule(LOG_INTERVAL, () -> logInterval(cause));
    }
}
