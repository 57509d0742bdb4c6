package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Scheduler;

/** Stores submitted jobs, batching several into one transaction per partition. */
final class JobIntake {

    private static final int MAX_WAITING = 500;
    private static final Duration RETRY_DELAY = Duration.ofMillis(50);
    private static final long MAX_RETRY_MILLIS = 1_500;

    private final RowStore store;
    private final Supervision supervision;
    private final Scheduler scheduler;
    private final int maxRowBytes;
    private final Map<String, PartitionQueue> queuesByPartition = new HashMap<>();

    /** The result of storing a job. */
    enum Result {
        /** The job is stored. */
        STORED,
        /** The job is not stored and will not be stored later. */
        NOT_STORED,
        /** Too many jobs wait to be stored; the job is not stored and will not be stored later. */
        QUEUE_FULL,
        /** The job does not fit in a row of the store; it is not stored. */
        TOO_LARGE,
        /** The job may have been stored, or may still be. */
        UNKNOWN
    }

    /**
     * Creates an intake without jobs.
     *
     * @param maxRowBytes the longest value of a row of the store, in bytes
     */
    JobIntake(RowStore store, Supervision supervision, int maxRowBytes) {
        this.store = Checks.notNull("store", store);
        this.supervision = Checks.notNull("supervision", supervision);
        this.scheduler = supervision.scheduler();
        this.maxRowBytes = maxRowBytes;
    }

    private static final class PendingJob {
        private final Write write;
        private final long arrivedAt;
        private final CompletableFuture<Result> result = new CompletableFuture<>();
        private boolean mayBeStored;

        PendingJob(Write write, long arrivedAt) {
            this.write = write;
            this.arrivedAt = arrivedAt;
        }

        RowKey key() {
            return write.key();
        }
    }

    /** The jobs waiting to be written to one partition of the store. */
    private static final class PartitionQueue {
        private final String partition;
        private final Deque<PendingJob> waiting = new ArrayDeque<>();
        private boolean commitInProgress;

        PartitionQueue(String partition) {
            this.partition = partition;
        }
    }

    /** Stores a job, unless it is already stored. */
    CompletionStage<Result> store(AcceptedJob job) {
        Write write = Write.put(StoreLayout.jobKey(job.id()), Json.encode(job));
        if (CommitBatch.bytesOf(write) > maxRowBytes) {
            return CompletableFuture.completedFuture(Result.TOO_LARGE);
        }
        PartitionQueue queue =
                queuesByPartition.computeIfAbsent(
                        StoreLayout.partitionOf(job.id()), PartitionQueue::new);
        if (queue.waiting.size() >= MAX_WAITING) {
            return CompletableFuture.completedFuture(Result.QUEUE_FULL);
        }
        PendingJob pendingJob = new PendingJob(write, nowMillis());
        queue.waiting.add(pendingJob);
        sendNextBatch(queue);
        return pendingJob.result;
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    private void sendNextBatch(PartitionQueue queue) {
        if (queue.commitInProgress || queue.waiting.isEmpty()) {
            return;
        }
        int size = CommitBatch.sizeOf(queue.waiting.stream().map(e -> e.write).toList());
        List<PendingJob> batch = new ArrayList<>();
        Set<RowKey> keys = new HashSet<>();
        while (batch.size() < size && keys.add(queue.waiting.peek().key())) {
            batch.add(queue.waiting.poll());
        }
        sendBatch(queue, batch);
    }

    private void sendBatch(PartitionQueue queue, List<PendingJob> batch) {
        queue.commitInProgress = true;
        List<Condition> conditions = batch.stream().map(e -> new Condition(e.key(), 0)).toList();
        List<Write> writes = batch.stream().map(e -> e.write).toList();
        supervision.whenAnswered(
                "submissions",
                store.commit(queue.partition, conditions, writes),
                (outcome, fault) -> {
                    queue.commitInProgress = false;
                    if (fault == null) {
                        onOutcome(queue, batch, outcome);
                    } else {
                        onFailure(queue, batch, fault);
                    }
                    sendNextBatch(queue);
                },
                () -> {
                    batch.forEach(e -> e.result.complete(Result.UNKNOWN));
                    sendNextBatch(queue);
                });
    }

    private void onOutcome(PartitionQueue queue, List<PendingJob> batch, Outcome outcome) {
        switch (outcome) {
            case Outcome.Committed c -> batch.forEach(e -> e.result.complete(Result.STORED));
            case Outcome.Conflict conflict -> {
                Set<RowKey> stored = new HashSet<>();
                for (Row row : conflict.current()) {
                    stored.add(row.key());
                }
                List<PendingJob> rest = new ArrayList<>();
                for (PendingJob e : batch) {
                    if (stored.contains(e.key())) {
                        e.result.complete(Result.STORED);
                    } else {
                        rest.add(e);
                    }
                }
                retry(queue, rest);
            }
        }
    }

    private void onFailure(PartitionQueue queue, List<PendingJob> batch, Throwable fault) {
        Throwable cause = fault instanceof CompletionException ? fault.getCause() : fault;
        boolean notApplied =
                cause instanceof StoreException e && e.effect() == StoreException.Effect.NONE;
        List<PendingJob> rest = new ArrayList<>();
        for (PendingJob e : batch) {
            e.mayBeStored |= !notApplied;
            if (nowMillis() - e.arrivedAt >= MAX_RETRY_MILLIS) {
                e.result.complete(e.mayBeStored ? Result.UNKNOWN : Result.NOT_STORED);
            } else if (!e.mayBeStored) {
                e.result.complete(Result.NOT_STORED);
            } else {
                rest.add(e);
            }
        }
        if (!rest.isEmpty()) {
            scheduler.schedule(RETRY_DELAY, () -> retry(queue, rest));
        }
    }

    private void retry(PartitionQueue queue, List<PendingJob> entries) {
        for (int i = entries.size() - 1; i >= 0; i--) {
            queue.waiting.addFirst(entries.get(i));
        }
        sendNextBatch(queue);
    }
}
