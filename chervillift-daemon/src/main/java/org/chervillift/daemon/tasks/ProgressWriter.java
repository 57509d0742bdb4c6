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
import org.chervillift.core.tasks.JobProgress.IndexRange;
import org.chervillift.core.tasks.ProgressRow;
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
 *
 * <p>The progress of a large job is stored in parts, each in a row of its own. A part that is
 * needed no more is deleted after the row is stored that makes it so.
 */
final class ProgressWriter {

    private static final Duration BATCH_DELAY = Duration.ofMillis(25);

    /** Applies while task starts wait for the write, to delay them only briefly. */
    private static final Duration START_BATCH_DELAY = Duration.ofMillis(5);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);
    private static final String LOOP = "progress";

    /** The share of the longest row beyond which a job is stored in parts, which are shorter. */
    private static final int MAX_SHARE_OF_ROW = 4;

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onStored;
    private final Consumer<String> onEndStored;
    private final StoredParts parts = new StoredParts();
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

    /** Records the version of an existing part of progress. */
    void recordPart(Row row) {
        recordVersion(row);
        parts.add(row.key().key());
    }

    /** Deletes a part that an earlier holder left and that is not needed. */
    void deletePart(RowKey key) {
        parts.markUnneeded(key.key());
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
            Duration delay = board.startGate().hasHeldStarts() ? START_BATCH_DELAY : BATCH_DELAY;
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

    /** Writes the next rows, in one transaction. */
    private void writeUnstored() {
        if (stopped) {
            return;
        }
        UnstoredProgress unstored = board.unstoredProgress(CommitBatch.MAX_ROWS);
        List<ProgressRow> rows = unstored.rows();
        List<Write> writes = new ArrayList<>();
        rows.forEach(r -> writes.add(encode(r)));
        if (handleTooLarge(unstored, writes)) {
            writeUnstored();
            return;
        }
        int size = CommitBatch.sizeOf(writes);
        List<Write> batch = new ArrayList<>(writes.subList(0, size));
        batch.forEach(w -> parts.markNeeded(w.key().key()));
        parts.unneeded(CommitBatch.MAX_ROWS - size).forEach(k -> batch.add(Write.delete(k)));
        if (batch.isEmpty()) {
            finish(unstored);
        } else {
            commit(unstored, rows.subList(0, size), batch);
        }
    }

    private static Write encode(ProgressRow row) {
        return switch (row) {
            case ProgressRow.Whole r ->
                    Write.put(StoreLayout.progressKey(r.jobId()), Json.encode(r.progress()));
            case ProgressRow.Head r ->
                    Write.put(StoreLayout.progressKey(r.jobId()), Json.encode(r.progress()));
            case ProgressRow.Part r -> Write.put(StoreLayout.partKey(r), Json.encode(r.progress()));
        };
    }

    /**
     * Stores the progress of large jobs in parts from now on; returns whether other rows are to be
     * written therefore. A part that fits in no row is left out, since all others would wait for
     * it.
     */
    private boolean handleTooLarge(UnstoredProgress unstored, List<Write> writes) {
        int maxBytes = context.settings().maxRowBytes();
        boolean changed = false;
        for (int i = 0; i < writes.size(); i++) {
            long bytes = CommitBatch.bytesOf(writes.get(i));
            ProgressRow row = unstored.rows().get(i);
            boolean whole = row instanceof ProgressRow.Whole && !row.endsJob();
            if (whole && bytes > maxBytes / MAX_SHARE_OF_ROW) {
                board.storeInParts(row.jobId());
                log(TaskEvent.PROGRESS_IN_PARTS, row, bytes);
                changed = true;
            } else if (bytes > maxBytes) {
                board.leaveUnstored(unstored, i);
                log(TaskEvent.PROGRESS_TOO_LARGE, row, bytes);
                changed = true;
            }
        }
        return changed;
    }

    private static void log(TaskEvent event, ProgressRow row, long bytes) {
        EventLog.log(event, Field.of("job", row.jobId()), Field.of("bytes", bytes));
    }

    private void finish(UnstoredProgress unstored) {
        if (!unstored.isEmpty()) {
            board.markStored(unstored);
            onStored.run();
        }
        scheduled = false;
        context.health().forget(LOOP);
    }

    private void commit(UnstoredProgress unstored, List<ProgressRow> rows, List<Write> writes) {
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
                                onOutcome(unstored, rows, writes, outcome);
                            }
                        },
                        () -> writeAfter(RETRY_DELAY));
    }

    private void onCommitted(
            UnstoredProgress unstored, List<ProgressRow> rows, List<Write> writes, long version) {
        context.recordProgress(LOOP);
        writes.forEach(w -> recordWrite(w, version));
        board.markStored(unstored, rows.size());
        rows.forEach(this::onRowStored);
        onStored.run();
        boolean more = unstored.hasMoreChanged() || rows.size() < unstored.rows().size();
        if (more || parts.hasUnneeded()) {
            writeUnstored();
        } else {
            scheduled = false;
            context.health().forget(LOOP);
        }
    }

    private void recordWrite(Write write, long version) {
        RowKey key = write.key();
        boolean isPart = key.table().equals(StoreLayout.PARTS_TABLE);
        if (write.value().isPresent()) {
            versions.put(key, version);
            if (isPart) {
                parts.add(key.key());
            }
        } else {
            versions.remove(key);
            parts.remove(key.key());
        }
    }

    /** Deletes the parts that a stored row makes needless. */
    private void onRowStored(ProgressRow row) {
        if (row.endsJob()) {
            parts.markUnneeded(row.jobId(), k -> true);
            onEndStored.accept(row.jobId());
        } else if (row instanceof ProgressRow.Head head) {
            List<IndexRange> done = head.progress().doneOccurrences();
            parts.markUnneeded(row.jobId(), k -> done.stream().anyMatch(r -> r.contains(k)));
        }
    }

    private void forgetRow(RowKey key) {
        versions.remove(key);
        parts.remove(key.key());
    }

    private void onFailure(Throwable fault) {
        context.recordProgress(LOOP);
        EventLog.log(TaskEvent.PROGRESS_NOT_STORED, Field.of("why", fault.getMessage()));
        writeAfter(RETRY_DELAY);
    }

    private void onOutcome(
            UnstoredProgress unstored,
            List<ProgressRow> rows,
            List<Write> writes,
            Outcome outcome) {
        switch (outcome) {
            case Outcome.Committed c -> onCommitted(unstored, rows, writes, c.version());
            case Outcome.Conflict conflict -> {
                Set<RowKey> existing =
                        conflict.current().stream().map(Row::key).collect(Collectors.toSet());
                writes.stream()
                        .map(Write::key)
                        .filter(k -> !existing.contains(k))
                        .forEach(this::forgetRow);
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
