package org.chervillift.standin.tasks;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The link of one client to a store in memory, on which the bytes of answers take time.
 *
 * <p>Each answer comes on a connection of its own. All answers share the link; what has been sent
 * is delivered in order, and each connection has at most a window of bytes on the way. A client
 * gives up on a call whose whole answer has not come in time. Used by one thread.
 */
public final class MemoryLink implements RowStore {

    private static final long WINDOW_BYTES = 65_536;
    private static final long ANSWER_BYTES = 300;
    private static final long ROW_BYTES = 150;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final RowStore store;
    private final Scheduler scheduler;
    private final long bytesPerSecond;
    private double freeAtMillis;
    private boolean cut;
    private boolean readsOnly;

    /**
     * Creates a link.
     *
     * @param bytesPerSecond how many bytes of answers come through in a second
     */
    public MemoryLink(RowStore store, Scheduler scheduler, long bytesPerSecond) {
        Checks.that(bytesPerSecond > 0, "bytesPerSecond must be positive");
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.bytesPerSecond = bytesPerSecond;
    }

    /** Lets nothing through from now on, or all again. */
    public void setCut(boolean newCut) {
        this.cut = newCut;
    }

    /** Lets answers to reads through and none to commits and feeds, or all again. */
    public void setReadsOnly(boolean newReadsOnly) {
        this.readsOnly = newReadsOnly;
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return carry(
                () -> store.scan(table, part, range, most),
                page -> rowBytes(page.rows()),
                Kind.READ);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return carry(
                () -> store.commit(part, conditions, writes),
                MemoryLink::outcomeBytes,
                Kind.COMMIT);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return carry(
                () -> store.follow(table, afterVersion, wait), MemoryLink::changeBytes, Kind.FEED);
    }

    /** What a call is, and how long its client waits. */
    private enum Kind {
        READ(MemoryStore.CALL_TIMEOUT),
        COMMIT(MemoryStore.CALL_TIMEOUT),
        FEED(MemoryStore.POLL_TIMEOUT);

        private final Duration timeout;

        Kind(Duration timeout) {
            this.timeout = timeout;
        }
    }

    private boolean passes(Kind kind) {
        return !cut && (kind == Kind.READ || !readsOnly);
    }

    private static long outcomeBytes(Outcome outcome) {
        return outcome instanceof Outcome.Conflict c ? rowBytes(c.current()) : 0;
    }

    private static long changeBytes(Changes changes) {
        return changes instanceof Changes.Next next
                ? next.rows().stream().mapToLong(c -> bytes(c.value().orElse(""))).sum()
                : 0;
    }

    private static long rowBytes(List<Row> rows) {
        return rows.stream().mapToLong(r -> bytes(r.value())).sum();
    }

    /** Values are sent in base64, three bytes as four. */
    private static long bytes(String value) {
        return ROW_BYTES + value.length() * 4L / 3;
    }

    private <T> CompletionStage<T> carry(
            Supplier<CompletionStage<T>> call, ToLongFunction<T> size, Kind kind) {
        CompletableFuture<T> future = new CompletableFuture<>();
        scheduler.schedule(
                kind.timeout, () -> future.completeExceptionally(MemoryStore.unanswered()));
        if (passes(kind)) {
            call.get()
                    .whenComplete(
                            (value, fault) -> {
                                if (fault == null) {
                                    long bytes = ANSWER_BYTES + size.applyAsLong(value);
                                    send(new Answer<>(future, value, kind), bytes);
                                } else {
                                    future.completeExceptionally(fault);
                                }
                            });
        }
        return future;
    }

    /** An answer on its way. */
    private record Answer<T>(CompletableFuture<T> future, T value, Kind kind) {}

    private <T> void send(Answer<T> answer, long bytes) {
        if (answer.future().isDone() || !passes(answer.kind())) {
            return;
        }
        long now = scheduler.now().toEpochMilli();
        long sent = Math.min(bytes, WINDOW_BYTES);
        freeAtMillis = Math.max(freeAtMillis, now) + sent * MILLIS_PER_SECOND / bytesPerSecond;
        long rest = bytes - sent;
        scheduler.schedule(
                Duration.ofMillis((long) Math.ceil(freeAtMillis) - now),
                () -> {
                    if (rest > 0) {
                        send(answer, rest);
                    } else if (passes(answer.kind())) {
                        answer.future().complete(answer.value());
                    }
                });
    }
}
