package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.UnstoredProgress;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Stores the progress of jobs, and then lets the workers forget the ends that caused it.
 *
 * <p>Each write has two conditions: that no newer holder has begun, and that the row is as this
 * process last saw it, so that a delayed write of its own cannot undo a later one.
 */
final class ProgressWriter {

    private static final int MOST_IN_A_BATCH = 40;
    private static final Duration GATHER = Duration.ofMillis(25);

    /** Jobs that surge come many at a time; a start waits for no more than this. */
    private static final Duration GATHER_STARTS = Duration.ofMillis(5);

    private static final Duration FAILED_PAUSE = Duration.ofMillis(200);

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onStored;
    private final Map<RowKey, Long> versions = new HashMap<>();
    private boolean scheduled;
    private boolean stopped;

    ProgressWriter(HolderContext context, TaskScheduler board, Runnable onStored) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.onStored = Checks.notNull("onStored", onStored);
    }

    void stop() {
        stopped = true;
    }

    /** Notes the version of a row that exists. */
    void known(Row row) {
        versions.put(row.key(), row.version());
    }

    /** Writes soon what is not stored yet. */
    void poke() {
        if (!scheduled && !stopped) {
            scheduled = true;
            Duration gather = board.hasHeldStarts() ? GATHER_STARTS : GATHER;
            context.scheduler().schedule(gather, this::write);
        }
    }

    private void write() {
        if (stopped) {
            return;
        }
        UnstoredProgress unstored = board.unstoredProgress();
        if (unstored.isEmpty()) {
            scheduled = false;
            return;
        }
        writeRest(unstored, new ArrayList<>(unstored.progress().entrySet()));
    }

    private void writeRest(UnstoredProgress unstored, List<Map.Entry<String, JobProgress>> rest) {
        if (stopped) {
            return;
        }
        if (rest.isEmpty()) {
            board.markStored(unstored);
            scheduled = false;
            onStored.run();
            return;
        }
        List<Map.Entry<String, JobProgress>> batch =
                rest.subList(0, Math.min(MOST_IN_A_BATCH, rest.size()));
        List<Condition> conditions = new ArrayList<>();
        List<Write> writes = new ArrayList<>();
        for (Map.Entry<String, JobProgress> e : batch) {
            RowKey key = JobRows.progress(e.getKey());
            conditions.add(new Condition(key, versions.getOrDefault(key, 0L)));
            writes.add(Write.put(key, Json.encode(e.getValue())));
        }
        context.own()
                .commit(conditions, writes)
                .whenComplete(
                        (outcome, fault) -> {
                            if (fault != null) {
                                failed(fault);
                            } else {
                                written(unstored, rest, batch.size(), writes, outcome);
                            }
                        });
    }

    private void failed(Throwable fault) {
        EventLog.log(TaskEvent.PROGRESS_NOT_STORED, Field.of("why", fault.getMessage()));
        context.scheduler().schedule(FAILED_PAUSE, this::write);
    }

    private void written(
            UnstoredProgress unstored,
            List<Map.Entry<String, JobProgress>> rest,
            int count,
            List<Write> writes,
            Outcome outcome) {
        switch (outcome) {
            case Outcome.Committed c -> {
                writes.forEach(w -> versions.put(w.key(), c.version()));
                writeRest(unstored, rest.subList(count, rest.size()));
            }
            case Outcome.Conflict conflict -> {
                Set<RowKey> existing =
                        conflict.current().stream().map(Row::key).collect(Collectors.toSet());
                writes.stream()
                        .map(Write::key)
                        .filter(k -> !existing.contains(k))
                        .forEach(versions::remove);
                conflict.current().forEach(this::known);
                EventLog.log(
                        TaskEvent.PROGRESS_NOT_STORED,
                        Field.of("why", "rows had other versions"),
                        Field.of("rows", writes.size()));
                context.scheduler().schedule(GATHER, this::write);
            }
        }
    }
}
