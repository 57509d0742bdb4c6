package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.runtime.supervision.Scheduler;

/** Wraps a store for one process: can lose calls or replies, delay reads, and hide the clock. */
final class FaultInjectingStore implements RowStore {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(3_000);

    private final RowStore store;
    private final Scheduler scheduler;
    private boolean commitsLost;
    private boolean feedsLost;
    private String lostTable = "";
    private boolean clockHidden;
    private boolean commitRepliesLost;
    private int conflictCount;
    private String delayedTable = "";
    private Duration readDelay = Duration.ZERO;

    FaultInjectingStore(RowStore store, Scheduler scheduler) {
        this.store = store;
        this.scheduler = scheduler;
    }

    void setCommitsLost(boolean value) {
        commitsLost = value;
    }

    void setFeedsLost(boolean value) {
        feedsLost = value;
    }

    /** Loses all reads of one table. */
    void setTableLost(String table) {
        lostTable = table;
    }

    /** If set, commits take effect, but the connection breaks before the reply. */
    void setCommitRepliesLost(boolean value) {
        commitRepliesLost = value;
    }

    /** Returns the number of commits rejected because a condition was not met. */
    int conflictCount() {
        return conflictCount;
    }

    void setClockHidden(boolean value) {
        clockHidden = value;
    }

    void delayReads(String table, Duration time) {
        delayedTable = table;
        readDelay = time;
    }

    @Override
    public CompletionStage<Page> scan(String table, String partition, KeyRange range, int maxRows) {
        if (table.equals(lostTable)) {
            return failAfter(CALL_TIMEOUT);
        }
        if (!table.equals(delayedTable)) {
            return store.scan(table, partition, range, maxRows).thenApply(this::hideClockIfSet);
        }
        CompletableFuture<Page> future = new CompletableFuture<>();
        scheduler.schedule(
                readDelay,
                () -> store.scan(table, partition, range, maxRows).thenAccept(future::complete));
        return future;
    }

    private Page hideClockIfSet(Page page) {
        return clockHidden ? new Page(page.rows(), page.hasMore(), page.storeVersion(), 0) : page;
    }

    @Override
    public CompletionStage<Outcome> commit(
            String partition, List<Condition> conditions, List<Write> writes) {
        if (commitsLost) {
            return failAfter(CALL_TIMEOUT);
        }
        CompletionStage<Outcome> done = store.commit(partition, conditions, writes);
        return commitRepliesLost
                ? done.thenCompose(o -> failAfter(Duration.ZERO))
                : countConflicts(done);
    }

    private CompletionStage<Outcome> countConflicts(CompletionStage<Outcome> done) {
        return done.whenComplete(
                (o, fault) -> conflictCount += o instanceof Outcome.Conflict ? 1 : 0);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return feedsLost || table.equals(lostTable)
                ? failAfter(POLL_TIMEOUT)
                : store.follow(table, afterVersion, wait);
    }

    private <T> CompletionStage<T> failAfter(Duration timeout) {
        CompletableFuture<T> future = new CompletableFuture<>();
        scheduler.schedule(
                timeout,
                () ->
                        future.completeExceptionally(
                                new StoreException(
                                        StoreException.Effect.UNKNOWN, "no answer", null)));
        return future;
    }
}
