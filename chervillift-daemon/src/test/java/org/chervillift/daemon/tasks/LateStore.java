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
final class LateStore implements RowStore {

    private final RowStore store;
    private final List<Runnable> held = new ArrayList<>();
    private Predicate<Write> wanted = w -> false;
    private boolean feedsStopped;

    LateStore(RowStore store) {
        this.store = store;
    }

    /** Holds each commit with such a write from now on. */
    void hold(Predicate<Write> writes) {
        wanted = writes;
    }

    /** Lets no feed of changes answer any more. */
    void stopFeeds() {
        feedsStopped = true;
    }

    int heldCount() {
        return held.size();
    }

    /** Lets all commits through again; those that were held stay so. */
    void letThrough() {
        wanted = w -> false;
    }

    /** Carries out the commits that were held, in their order. */
    void release() {
        List.copyOf(held).forEach(Runnable::run);
        held.clear();
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return store.scan(table, part, range, most);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        if (writes.stream().noneMatch(wanted)) {
            return store.commit(part, conditions, writes);
        }
        held.add(() -> store.commit(part, conditions, writes));
        return CompletableFuture.failedFuture(
                new StoreException(StoreException.Effect.UNKNOWN, "no answer", null));
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return feedsStopped ? new CompletableFuture<>() : store.follow(table, afterVersion, wait);
    }
}
