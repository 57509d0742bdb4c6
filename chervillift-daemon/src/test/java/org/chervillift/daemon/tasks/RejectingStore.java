package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;

/** The store as one entry VM sees it: it can reject that VM's requests, and counts them. */
final class RejectingStore implements RowStore {

    private static final Optional<StoreException.Effect> REJECTED =
            Optional.of(StoreException.Effect.NONE);

    private final RowStore store;
    private final Map<String, Integer> calls = new TreeMap<>();
    private boolean rejecting;
    private Optional<StoreException.Effect> jobWriteFault = Optional.empty();
    private boolean feedsRejected;
    private boolean jobReadsRejected;

    RejectingStore(RowStore store) {
        this.store = store;
    }

    /** Rejects all calls, with the answer that nothing was done. */
    void setRejecting(boolean value) {
        rejecting = value;
    }

    /** Lets writes of jobs fail, which have no effect; tells the caller what may have happened. */
    void failJobWrites(StoreException.Effect told) {
        jobWriteFault = Optional.of(told);
    }

    /** Rejects reads of jobs. */
    void setJobReadsRejected(boolean value) {
        jobReadsRejected = value;
    }

    /** Rejects all calls for changes. */
    void setFeedsRejected(boolean value) {
        feedsRejected = value;
    }

    /** Returns the number of calls by kind and table. */
    Map<String, Integer> calls() {
        return calls;
    }

    private <T> CompletionStage<T> call(
            String name, Optional<StoreException.Effect> fault, Supplier<CompletionStage<T>> call) {
        calls.merge(name, 1, Integer::sum);
        Optional<StoreException.Effect> effect = rejecting ? REJECTED : fault;
        return effect.isEmpty()
                ? call.get()
                : CompletableFuture.failedFuture(
                        new StoreException(effect.get(), "rejected", null));
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        boolean isRejected = jobReadsRejected && table.equals(StoreLayout.JOBS_TABLE);
        return call(
                "scan " + table,
                isRejected ? REJECTED : Optional.empty(),
                () -> store.scan(table, part, range, most));
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        String table = writes.getFirst().key().table();
        boolean isJob = table.equals(StoreLayout.JOBS_TABLE);
        return call(
                "commit " + table,
                jobWriteFault.filter(e -> isJob),
                () -> store.commit(part, conditions, writes));
    }

    @Override
    public CompletionStage<Changes> follow(String table, long after, Duration wait) {
        return call(
                "follow " + table,
                feedsRejected ? REJECTED : Optional.empty(),
                () -> store.follow(table, after, wait));
    }
}
