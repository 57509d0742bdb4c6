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

/** One process's faulty view of the store: calls or replies are lost, reads are slow or undated. */
final class FaultyStoreView implements RowStore {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(3_000);

    private final RowStore store;
    private final Scheduler scheduler;
    private boolean commitsLost;
    private boolean feedsLost;
    private boolean clockHidden;
    private boolean repliesLost;
    private int conflicts;
    private String slowTable = "";
    private Duration slowTime = Duration.ZERO;

    FaultyStoreView(RowStore store, Scheduler scheduler) {
        this.store = store;
        this.scheduler = scheduler;
    }

    void loseCommits(boolean value) {
        commitsLost = value;
    }

    void loseFeeds(boolean value) {
        feedsLost = value;
    }

    /** Commits take effect, and their connections break before the answer. */
    void loseReplies(boolean value) {
        repliesLost = value;
    }

    /** Returns how many commits did not take effect, as a condition did not hold. */
    int conflicts() {
        return conflicts;
    }

    void hideClock(boolean value) {
        clockHidden = value;
    }

    void slowDownReads(String table, Duration time) {
        slowTable = table;
        slowTime = time;
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        if (!table.equals(slowTable)) {
            return store.scan(table, part, range, most).thenApply(this::seen);
        }
        CompletableFuture<Page> future = new CompletableFuture<>();
        scheduler.schedule(
                slowTime, () -> store.scan(table, part, range, most).thenAccept(future::complete));
        return future;
    }

    private Page seen(Page page) {
        return clockHidden ? new Page(page.rows(), page.hasMore(), page.storeVersion(), 0) : page;
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        if (commitsLost) {
            return unanswered(CALL_TIMEOUT);
        }
        CompletionStage<Outcome> done = store.commit(part, conditions, writes);
        return repliesLost ? done.thenCompose(o -> unanswered(Duration.ZERO)) : counted(done);
    }

    private CompletionStage<Outcome> counted(CompletionStage<Outcome> done) {
        return done.whenComplete((o, fault) -> conflicts += o instanceof Outcome.Conflict ? 1 : 0);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return feedsLost ? unanswered(POLL_TIMEOUT) : store.follow(table, afterVersion, wait);
    }

    private <T> CompletionStage<T> unanswered(Duration timeout) {
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
