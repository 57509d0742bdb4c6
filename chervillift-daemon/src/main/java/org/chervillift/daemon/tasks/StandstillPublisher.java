package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.chervillift.api.Checks;
import org.chervillift.core.tasks.Ages;
import org.chervillift.core.tasks.StandstillReport;
import org.chervillift.core.tasks.StandstillReport.StandingJobs;
import org.chervillift.core.tasks.StandstillReport.StartStatus;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.WaitReason;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Publishes why work waits, and logs each second what stands still.
 *
 * <p>The ages are read anew whenever the metrics are asked for, so that they tell also which of the
 * holder's repeated activities has ended, this one included.
 */
final class StandstillPublisher {

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(1_000);

    /** A holder that has not read all jobs after this time lets work stand still. */
    private static final long READ_MILLIS = 3_000;

    private final HolderContext context;
    private final TaskScheduler board;
    private final Holder holder;
    private final EvacuationReporter evacuations;
    private final long startedAt;
    private OptionalLong lastCheckAt = OptionalLong.empty();
    private OptionalLong standingSince = OptionalLong.empty();
    private boolean stopped;

    /** What the holder tells of itself. */
    interface Holder {

        /** Returns whether all jobs and the workers of earlier holders have been read. */
        boolean isReady();

        /** Returns the ages by which the holder decides. */
        HolderAges ages();

        /** Returns why the holder starts no task at all, if it does not. */
        Optional<WaitReason> suspension();
    }

    StandstillPublisher(HolderContext context, TaskScheduler board, Holder holder) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.holder = Checks.notNull("holder", holder);
        this.evacuations = new EvacuationReporter(context.metrics().evacuation());
        this.startedAt = context.nowMillis();
    }

    void start() {
        context.supervision()
                .repeat("standstill check", CHECK_INTERVAL, () -> stopped, this::check);
    }

    void stop() {
        stopped = true;
        context.metrics().waits().clearHolderMetrics();
        context.metrics().evacuation().clearHolderMetrics();
    }

    private void check() {
        long now = context.nowMillis();
        lastCheckAt = OptionalLong.of(now);
        if (holder.isReady()) {
            checkBoard(now);
        } else if (now - startedAt >= READ_MILLIS) {
            EventLog.log(
                    TaskEvent.HOLDER_NOT_READY,
                    Field.of("term", context.term()),
                    Field.of("afterMillis", now - startedAt),
                    Field.of("leaseAge", holder.ages().lease()));
        }
    }

    private void checkBoard(long now) {
        Optional<WaitReason> suspension = holder.suspension();
        StandstillReport report =
                board.standstills().check(suspension, now, System.currentTimeMillis());
        context.metrics().waits().setReport(report);
        report.standing().forEach(s -> log(s, report.starts()));
        recordStanding(!report.standing().isEmpty(), now);
        if (suspension.isEmpty()) {
            evacuations.check(board.evacuation());
        }
    }

    private void recordStanding(boolean standing, long now) {
        if (standing && standingSince.isEmpty()) {
            standingSince = OptionalLong.of(now);
        } else if (!standing && standingSince.isPresent()) {
            EventLog.log(
                    TaskEvent.WORK_GOES_ON,
                    Field.of("term", context.term()),
                    Field.of("afterMillis", now - standingSince.getAsLong()));
            standingSince = OptionalLong.empty();
        }
    }

    private void log(StandingJobs standing, StartStatus starts) {
        HolderAges now = holder.ages();
        EventLog.log(
                TaskEvent.WORK_STANDS_STILL,
                Field.of("reason", standing.reason()),
                Field.of("pool", standing.pool()),
                Field.of("jobs", standing.jobs()),
                Field.of("oldestJob", standing.oldestJob()),
                Field.of("oldestTask", standing.oldestTask()),
                Field.of("oldestMillis", standing.oldestMillis()),
                Field.of("usableWorkers", standing.usableWorkers()),
                Field.of("workers", standing.workers()),
                Field.of("heldStarts", starts.held()),
                Field.of("unansweredStarts", starts.unanswered()),
                Field.of("oldestUnansweredMillis", starts.oldestUnansweredMillis()),
                Field.of("planAge", toText(starts.planAge())),
                Field.of("orderAge", toText(starts.orderAge())),
                Field.of("reportAge", toText(starts.reportAge())),
                Field.of("storedAge", toText(now.stored())),
                Field.of("jobsAge", now.jobs()),
                Field.of("workersAge", now.workers()),
                Field.of("leaseAge", now.lease()),
                Field.of("term", context.term()));
    }

    private static String toText(OptionalLong millis) {
        return millis.isPresent() ? Long.toString(millis.getAsLong()) : "none";
    }

    /** Sets the metrics that change with time. */
    void updateAges() {
        if (stopped) {
            return;
        }
        long now = context.nowMillis();
        OptionalLong checkAge = Ages.since(lastCheckAt, now);
        context.metrics().waits().setCheck(holder.isReady(), now - startedAt, checkAge);
        if (holder.isReady()) {
            context.metrics().waits().setAges(holder.ages());
            context.metrics().waits().setStarts(board.standstills().startStatus(now));
        }
    }
}
