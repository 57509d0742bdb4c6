package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Deletes the rows of finished jobs once callers may no longer ask for their state.
 *
 * <p>The row of a job is deleted before its progress: a new holder that finds a job without
 * progress would run it again. Progress that is left behind is deleted by the next holder.
 */
final class FinishedJobRemover {

    private static final Duration TICK_INTERVAL = Duration.ofSeconds(5);
    private static final String LOOP = "finished jobs";

    /** Each job has two rows in its partition. */
    private static final int MAX_JOBS_PER_COMMIT = 20;

    /** A reload of the jobs that began before a deletion ends within this time. */
    private static final long REMEMBER_MILLIS = 60_000;

    private final HolderContext context;
    private final TaskScheduler board;
    private final ProgressWriter progress;
    private final Deque<FinishedJob> finished = new ArrayDeque<>();
    private final Map<String, Long> removedAt = new LinkedHashMap<>();
    private boolean stopped;

    /** A job and the time from which on it is known that it has ended, in milliseconds. */
    private record FinishedJob(String id, long since) {}

    FinishedJobRemover(HolderContext context, TaskScheduler board, ProgressWriter progress) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.progress = Checks.notNull("progress", progress);
    }

    void start() {
        context.scheduler()
                .schedule(
                        TICK_INTERVAL,
                        () ->
                                context.supervision()
                                        .repeat(LOOP, TICK_INTERVAL, () -> stopped, this::tick));
    }

    void stop() {
        stopped = true;
    }

    /** Records that the final state of a job is stored. */
    void onEndStored(String id) {
        finished.add(new FinishedJob(id, context.nowMillis()));
    }

    /** Returns whether a row of a job that was just read is older than its deletion. */
    boolean wasRemoved(String id) {
        return removedAt.containsKey(id);
    }

    private void tick() {
        long now = context.nowMillis();
        removedAt.values().removeIf(t -> now - t > REMEMBER_MILLIS);
        if (context.maySendOrders().getAsBoolean()) {
            removeDue(now);
        }
    }

    private void removeDue(long now) {
        Map<String, List<String>> idsByPartition =
                takeDue(now).stream().collect(Collectors.groupingBy(StoreLayout::partitionOf));
        idsByPartition.forEach(
                (partition, ids) -> {
                    for (int i = 0; i < ids.size(); i += MAX_JOBS_PER_COMMIT) {
                        int end = Math.min(ids.size(), i + MAX_JOBS_PER_COMMIT);
                        deleteJobs(partition, ids.subList(i, end));
                    }
                });
    }

    private List<String> takeDue(long now) {
        long keepMillis = context.settings().keepFinished().toMillis();
        List<String> due = new ArrayList<>();
        List<String> notYet = new ArrayList<>();
        while (!finished.isEmpty() && now - finished.peek().since() > keepMillis) {
            String id = finished.poll().id();
            (board.mayForget(id) ? due : notYet).add(id);
        }
        notYet.forEach(this::onEndStored);
        return due;
    }

    private void deleteJobs(String partition, List<String> ids) {
        List<Write> deletions = new ArrayList<>();
        for (String id : ids) {
            deletions.add(Write.delete(StoreLayout.jobKey(id)));
            deletions.add(Write.delete(StoreLayout.cancellationKey(id)));
            removedAt.put(id, context.nowMillis());
        }
        context.supervision()
                .whenAnswered(
                        LOOP,
                        context.store().commit(partition, List.of(), deletions),
                        (outcome, fault) -> {
                            if (fault == null && outcome instanceof Outcome.Committed) {
                                deleteProgress(ids);
                            } else {
                                ids.forEach(this::onEndStored);
                            }
                        },
                        () -> ids.forEach(this::onEndStored));
    }

    private void deleteProgress(List<String> ids) {
        List<Write> deletions =
                ids.stream().map(id -> Write.delete(StoreLayout.progressKey(id))).toList();
        context.supervision()
                .whenAnswered(
                        LOOP,
                        context.fencedStore().commit(List.of(), deletions),
                        (outcome, fault) -> {
                            if (fault == null && outcome instanceof Outcome.Committed) {
                                ids.forEach(progress::forget);
                                EventLog.log(TaskEvent.JOBS_REMOVED, Field.of("jobs", ids.size()));
                            } else {
                                ids.forEach(this::onEndStored);
                            }
                        },
                        () -> ids.forEach(this::onEndStored));
    }
}
