package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;

/** What one process sees of the store, and the troubles of its links. */
final class SoakLink implements RowStore {

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration POLL_TIMEOUT = Duration.ofMillis(3_000);

    private final RowStore store;
    private final SoakProcess process;
    private final LongUnaryOperator storeClock;
    private final Set<Fault> active = new HashSet<>();

    /** What ails the links of a process. */
    enum Fault {
        /** The store turns it away. */
        TURNED_AWAY,
        /** Its calls to the store get lost. */
        STORE_REQUESTS_LOST,
        /** The answers of the store get lost. */
        STORE_ANSWERS_LOST,
        /** Its calls to workers get lost. */
        WORKER_REQUESTS_LOST,
        /** The answers of workers get lost. */
        WORKER_ANSWERS_LOST,
        /** Calls to the platform fail. */
        VM_CALLS_FAIL,
        /** Lists of VMs are empty. */
        VM_LISTS_EMPTY,
        /** Lists of VMs lack some. */
        VM_LISTS_PARTIAL,
        /** Calls of any kind throw instead of failing their future. */
        CALLS_THROW,
        /** Calls of any kind are never completed. */
        CALLS_HANG,
        /** Answers of any kind are null. */
        NULL_ANSWERS,
        /** Lists of VMs arrive long after the moment that they show. */
        VM_LISTS_SLOW
    }

    SoakLink(RowStore store, SoakProcess process, LongUnaryOperator storeClock) {
        this.store = store;
        this.process = process;
        this.storeClock = storeClock;
    }

    SoakProcess process() {
        return process;
    }

    boolean has(Fault fault) {
        return active.contains(fault);
    }

    void set(Fault fault, boolean value) {
        if (value) {
            active.add(fault);
        } else {
            active.remove(fault);
        }
    }

    /** Returns the future of a call that the troubles common to all calls end; else null. */
    <T> CompletableFuture<T> oddAnswer() {
        if (has(Fault.CALLS_THROW)) {
            throw new IllegalStateException("the call cannot be made");
        }
        if (has(Fault.CALLS_HANG)) {
            return process.newFuture();
        }
        if (has(Fault.NULL_ANSWERS)) {
            CompletableFuture<T> future = process.newFuture();
            process.complete(future, null, null);
            return future;
        }
        return null;
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return call(
                () -> store.scan(table, part, range, most),
                p ->
                        new Page(
                                p.rows(),
                                p.hasMore(),
                                p.storeVersion(),
                                storeClock.applyAsLong(p.storeMillis())),
                CALL_TIMEOUT);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return call(() -> store.commit(part, conditions, writes), this::convert, CALL_TIMEOUT);
    }

    private Outcome convert(Outcome outcome) {
        return outcome instanceof Outcome.Committed c
                ? new Outcome.Committed(c.version(), storeClock.applyAsLong(c.storeMillis()))
                : outcome;
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return call(() -> store.follow(table, afterVersion, wait), this::convert, POLL_TIMEOUT);
    }

    private Changes convert(Changes changes) {
        return changes instanceof Changes.Next n
                ? new Changes.Next(n.rows(), n.position(), storeClock.applyAsLong(n.storeMillis()))
                : changes;
    }

    private <T> CompletionStage<T> call(
            Supplier<CompletionStage<T>> call, Function<T, T> convert, Duration timeout) {
        CompletableFuture<T> odd = oddAnswer();
        if (odd != null) {
            return odd;
        }
        CompletableFuture<T> future = process.newFuture();
        if (has(Fault.TURNED_AWAY)) {
            process.complete(future, null, fault(StoreException.Effect.NONE));
            return future;
        }
        process.schedule(timeout, () -> failUnlessDone(future));
        if (!has(Fault.STORE_REQUESTS_LOST)) {
            call.get()
                    .whenComplete(
                            (value, fault) -> {
                                if (!has(Fault.STORE_ANSWERS_LOST)) {
                                    T converted = fault == null ? convert.apply(value) : null;
                                    process.complete(future, converted, fault);
                                }
                            });
        }
        return future;
    }

    private static void failUnlessDone(CompletableFuture<?> future) {
        if (!future.isDone()) {
            future.completeExceptionally(fault(StoreException.Effect.UNKNOWN));
        }
    }

    private static StoreException fault(StoreException.Effect effect) {
        return new StoreException(effect, "no answer", null);
    }
}
