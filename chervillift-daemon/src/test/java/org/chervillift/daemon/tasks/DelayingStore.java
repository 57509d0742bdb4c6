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

/** A store that leaves chosen commits unanswered, and carries them out when the test says. */
final class DelayingStore implements RowStore {

    private final RowStore store;
    private final List<Runnable> heldCommits = new ArrayList<>();
    private Predicate<Write> holdIf = w -> false;
    private boolean feedsStopped;

    DelayingStore(RowStore store) {
        this.store = store;
    }

    /** Holds each commit with such a write from now on. */
    void hold(Predicate<Write> writes) {
        holdIf = writes;
    }

    /** Lets no feed of changes answer any more. */
    void stopFeeds() {
        feedsStopped = true;
    }

    int heldCount() {
        return heldCommits.size();
    }

    /** Lets all commits through again; those that were held stay so. */
    void stopHolding() {
        holdIf = w -> false;
    }

    /** Carries out the commits that were held, in their order. */
    void releaseHeld() {
        List.copyOf(heldCommits).forEach(Runnable::run);
        heldCommits.clear();
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return store.scan(table, part, range, most);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        if (writes.stream().noneMatch(holdIf)) {
            return store.commit(part, conditions, writes);
        }
        heldCommits.add(() -> store.commit(part, conditions, writes));
        return CompletableFuture.failedFuture(
                new StoreException(StoreException.Effect.UNKNOWN, "no answer", null));
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return feedsStopped ? new CompletableFuture<>() : store.follow(table, afterVersion, wait);
    }
}
