package org.chervillift.daemon.tasks;

import java.util.function.Consumer;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.SchedulerEvent;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Logs and counts the decisions of the scheduler. */
final class DecisionLog implements Consumer<SchedulerEvent> {

    private final TaskMetrics metrics;

    DecisionLog(TaskMetrics metrics) {
        this.metrics = Checks.notNull("metrics", metrics);
    }

    @Override
    public void accept(SchedulerEvent decision) {
        metrics.countDecision(decision.kind());
        if (decision.kind() == SchedulerEvent.Kind.EVACUATED) {
            metrics.evacuation().countMove();
        }
        EventLog.log(
                eventOf(decision.kind()),
                Field.of("decision", decision.kind()),
                Field.of("job", decision.job()),
                Field.of("task", decision.task()),
                Field.of("worker", decision.worker()),
                Field.of("inputs", decision.detail()));
    }

    private static TaskEvent eventOf(SchedulerEvent.Kind kind) {
        return switch (kind) {
            case FINAL -> TaskEvent.JOB_ENDED;
            case LIFETIME, LEASE_OVER -> TaskEvent.WORKER_CHANGED;
            case LOST -> TaskEvent.RUN_LOST;
            case ODD_ENTRY -> TaskEvent.REPORT_ENTRY_IGNORED;
            case PREEMPTED -> TaskEvent.RUN_PREEMPTED;
            case BEYOND_SHARE, WITHIN_SHARE -> TaskEvent.CUSTOMER_SHARE;
            case RACK_WAIT_PAID, RACK_WAIT_IN_VAIN -> TaskEvent.RACK_WAIT_OVER;
            case COPY_STARTED, COPY_WON, COPY_LOST -> TaskEvent.COPY_DECISION;
            default -> TaskEvent.TASK_DECISION;
        };
    }
}
