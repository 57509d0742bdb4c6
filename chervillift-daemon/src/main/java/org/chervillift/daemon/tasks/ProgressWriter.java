package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.UnstoredProgress;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Stores the progress of jobs; afterwards the ended runs behind it can be acknowledged to workers.
 *
 * <p>Each write has two conditions: that no newer holder has taken over, and that the row has the
 * version that this process last saw, so that a delayed write cannot undo a later one.
 */
final class ProgressWriter {

    private static final Duration BATCH_DELAY = Duration.ofMillis(25);

    /** Applies while task starts wait for the write, to delay them only briefly. */
    private static final Duration START_BATCH_DELAY = Duration.ofMillis(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final String LOOP = "progress";

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onStored;
    private final Consumer<String> onEndStored;
    private final Map<RowKey, Long> versions = new HashMap<>();
    private boolean scheduled;
    private boolean stopped;

    /**
     * Creates a writer.
     *
     * @param onStored called after each write
     * @param onEndStored receives the identifier of each job whose final state is stored
     */
    ProgressWriter(
            HolderContext context,
            TaskScheduler board,
            Runnable onStored,
            Consumer<String> onEndStored) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.onStored = Checks.notNull("onStored", onStored);
        this.onEndStored = Checks.notNull("onEndStored", onEndStored);
    }

    void stop() {
        stopped = true;
    }

    /** Records the version of an existing row, for the condition of the next write. */
    void recordVersion(Row row) {
        versions.put(row.key(), row.version());
    }

    /** Forgets the row of a job that has been deleted. */
    void forget(String jobId) {
        versions.remove(StoreLayout.progressKey(jobId));
    }

    /** Schedules a write of the progress that is not stored yet. */
    void scheduleWrite() {
        if (!scheduled && !stopped) {
            scheduled = true;
            context.recordProgress(LOOP);
            Duration delay = board.hasHeldStarts() ? START_BATCH_DELAY : BATCH_DELAY;
            writeAfter(delay);
        }
    }

    /** Writes after a delay; a write that fails is followed by another one. */
    private void writeAfter(Duration delay) {
        context.scheduler()
                .schedule(
                        delay,
                        () -> {
                            if (!context.supervision().run(LOOP, this::writeUnstored)) {
                                writeAfter(RETRY_DELAY);
                            }
                        });
    }

    private void writeUnstored() {
        if (stopped) {
            return;
        }
        UnstoredProgress unstored = board.unstoredProgress();
        if (unstored.isEmpty()) {
            finish();
            return;
        }
        List<Write> writes = encode(unstored);
        if (endJobsWithTooLargeRows(writes)) {
            writeUnstored();
        } else {
            writeNextBatch(unstored, writes);
        }
    }

    private void finish() {
        scheduled = false;
        context.health().forget(LOOP);
    }

    private static List<Write> encode(UnstoredProgress unstored) {
        List<Write> writes = new ArrayList<>();
        unstored.progress()
                .forEach(
                        (id, p) ->
                                writes.add(Write.put(StoreLayout.progressKey(id), Json.encode(p))));
        return writes;
    }

    /**
     * Ends the jobs whose progress does not fit in a row, since the starts and ends of all other
     * jobs would wait for it; returns whether there are any.
     */
    private boolean endJobsWithTooLargeRows(List<Write> writes) {
        List<String> tooLarge =
                writes.stream()
                        .filter(w -> CommitBatch.bytesOf(w) > context.settings().maxRowBytes())
                        .map(w -> w.key().key())
                        .toList();
        tooLarge.forEach(id -> board.endForTooLargeProgress(id, context.nowMillis()));
        return !tooLarge.isEmpty();
    }

    private void writeNextBatch(UnstoredProgress unstored, List<Write> remaining) {
        if (stopped) {
            return;
        }
        if (remaining.isEmpty()) {
            board.markStored(unstored);
            unstored.endedJobs().forEach(onEndStored);
            onStored.run();
            finish();
            return;
        }
        List<Write> writes = remaining.subList(0, CommitBatch.sizeOf(remaining));
        List<Condition> conditions =
                writes.stream()
                        .map(w -> new Condition(w.key(), versions.getOrDefault(w.key(), 0L)))
                        .toList();
        context.supervision()
                .whenAnswered(
                        LOOP,
                        context.fencedStore().commit(conditions, writes),
                        (outcome, fault) -> {
                            if (fault != null) {
                                onFailure(fault);
                            } else {
                                onOutcome(unstored, remaining, writes, outcome);
                            }
                        },
                        () -> writeAfter(RETRY_DELAY));
    }

    private void onFailure(Throwable fault) {
        context.recordProgress(LOOP);
        EventLog.log(TaskEvent.PROGRESS_NOT_STORED, Field.of("why", fault.getMessage()));
        writeAfter(RETRY_DELAY);
    }

    private void onOutcome(
            UnstoredProgress unstored, List<Write> remaining, List<Write> writes, Outcome outcome) {
        switch (outcome) {
            case Outcome.Committed c -> {
                context.recordProgress(LOOP);
                writes.forEach(w -> versions.put(w.key(), c.version()));
                writeNextBatch(unstored, remaining.subList(writes.size(), remaining.size()));
            }
            case Outcome.Conflict conflict -> {
                Set<RowKey> existing =
                        conflict.current().stream().map(Row::key).collect(Collectors.toSet());
                writes.stream()
                        .map(Write::key)
                        .filter(k -> !existing.contains(k))
                        .forEach(versions::remove);
                conflict.current().forEach(this::recordVersion);
                EventLog.log(
                        TaskEvent.PROGRESS_NOT_STORED,
                        Field.of("why", "the rows had been changed"),
                        Field.of("rows", writes.size()));
                writeAfter(BATCH_DELAY);
            }
        }
    }
}
