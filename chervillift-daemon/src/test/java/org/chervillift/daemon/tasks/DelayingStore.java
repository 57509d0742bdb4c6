package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Predicate;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;

/** A store that fails selected commits with an unknown outcome, and applies them on demand. */
final class DelayingStore implements RowStore {

    private final RowStore store;
    private final List<Runnable> heldCommits = new ArrayList<>();
    private Predicate<Write> holdIf = w -> false;
    private boolean feedsStopped;

    DelayingStore(RowStore store) {
        this.store = store;
    }

    /** Holds back every commit that contains a matching write. */
    void hold(Predicate<Write> writes) {
        holdIf = writes;
    }

    /** Leaves all further calls for changes unanswered. */
    void stopFeeds() {
        feedsStopped = true;
    }

    int heldCount() {
        return heldCommits.size();
    }

    /** Passes new commits on again; commits already held back stay held. */
    void stopHolding() {
        holdIf = w -> false;
    }

    /** Applies the commits that were held back, in their original order. */
    void releaseHeld() {
        List.copyOf(heldCommits).forEach(Runnable::run);
        heldCommits.clear();
    }

    @Override
    public CompletionStage<Page> scan(String table, String partition, KeyRange range, int maxRows) {
        return store.scan(table, partition, range, maxRows);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String partition, List<Condition> conditions, List<Write> writes) {
        if (writes.stream().noneMatch(holdIf)) {
            return store.commit(partition, conditions, writes);
        }
        heldCommits.add(() -> store.commit(partition, conditions, writes));
        return CompletableFuture.failedFuture(
                new StoreException(StoreException.Effect.UNKNOWN, "no answer", null));
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return feedsStopped ? new CompletableFuture<>() : store.follow(table, afterVersion, wait);
    }
}
