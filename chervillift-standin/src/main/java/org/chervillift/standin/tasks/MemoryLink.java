package org.chervillift.standin.tasks;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
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

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return cut
                ? nothing(MemoryStore.CALL_TIMEOUT)
                : carry(
                        store.scan(table, part, range, most),
                        page -> rowBytes(page.rows()),
                        MemoryStore.CALL_TIMEOUT);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return cut
                ? nothing(MemoryStore.CALL_TIMEOUT)
                : carry(
                        store.commit(part, conditions, writes),
                        MemoryLink::outcomeBytes,
                        MemoryStore.CALL_TIMEOUT);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return cut
                ? nothing(MemoryStore.POLL_TIMEOUT)
                : carry(
                        store.follow(table, afterVersion, wait),
                        MemoryLink::changeBytes,
                        MemoryStore.POLL_TIMEOUT);
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

    private <T> CompletableFuture<T> nothing(Duration timeout) {
        CompletableFuture<T> future = new CompletableFuture<>();
        giveUp(future, timeout);
        return future;
    }

    private void giveUp(CompletableFuture<?> future, Duration timeout) {
        scheduler.schedule(timeout, () -> future.completeExceptionally(MemoryStore.unanswered()));
    }

    private <T> CompletionStage<T> carry(
            CompletionStage<T> answer, ToLongFunction<T> size, Duration timeout) {
        CompletableFuture<T> future = new CompletableFuture<>();
        giveUp(future, timeout);
        answer.whenComplete(
                (value, fault) -> {
                    if (fault == null) {
                        send(future, value, ANSWER_BYTES + size.applyAsLong(value));
                    } else {
                        future.completeExceptionally(fault);
                    }
                });
        return future;
    }

    private <T> void send(CompletableFuture<T> future, T value, long bytes) {
        if (future.isDone() || cut) {
            return;
        }
        long now = scheduler.now().toEpochMilli();
        long sent = Math.min(bytes, WINDOW_BYTES);
        freeAtMillis = Math.max(freeAtMillis, now) + sent * MILLIS_PER_SECOND / bytesPerSecond;
        Duration delay = Duration.ofMillis((long) Math.ceil(freeAtMillis) - now);
        long rest = bytes - sent;
        scheduler.schedule(
                delay,
                () -> {
                    if (rest > 0) {
                        send(future, value, rest);
                    } else if (!cut) {
                        future.complete(value);
                    }
                });
    }
}
