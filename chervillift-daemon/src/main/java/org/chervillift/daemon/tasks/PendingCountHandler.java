package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.Page;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Answers callers' requests for the number of pending jobs of a queue.
 *
 * <p>The holder counts on its board; other processes read the row that the holder writes. If the
 * age of a count is unknown or too great, the caller is asked to retry.
 */
final class PendingCountHandler {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final String COUNT_UNKNOWN =
            "The number of pending jobs of this queue is currently unknown.";

    private final MonitoredStore store;
    private final Scheduler scheduler;
    private final Supplier<Optional<HolderBoard>> holderBoard;

    PendingCountHandler(
            MonitoredStore store, Scheduler scheduler, Supplier<Optional<HolderBoard>> board) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.holderBoard = Checks.notNull("board", board);
    }

    /** Returns the number of pending jobs of a queue. */
    CompletionStage<AnswerWithBasis> answer(String queue) {
        Optional<HolderBoard> currentBoard = holderBoard.get();
        if (currentBoard.isPresent()) {
            PendingCounts counts = currentBoard.get().pendingCounts();
            long storeNowMillis =
                    Math.max(store.clock().storeMillisAt(nowMillis()), counts.asOfStoreMillis());
            return CompletableFuture.completedFuture(
                    toAnswer(queue, counts, storeNowMillis, currentBoard.get().basis()));
        }
        long requestedAt = nowMillis();
        return store.scan(
                        StoreLayout.PENDING_COUNTS_KEY.table(),
                        StoreLayout.HOLDER_PARTITION,
                        StoreLayout.singleKeyRange(StoreLayout.PENDING_COUNTS_KEY.key()))
                .thenApply(page -> fromRow(queue, page, nowMillis() - requestedAt));
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    /** Answers from the holder's row; its age includes the latency of the read. */
    private static AnswerWithBasis fromRow(String queue, Page page, long readMillis) {
        return page.rows().stream()
                .findFirst()
                .map(row -> fromRow(queue, row, page.storeMillis() + readMillis))
                .orElseGet(
                        () -> new AnswerWithBasis(countUnknown(), new AnswerBasis.CountRow(0, 0)));
    }

    private static AnswerWithBasis fromRow(String queue, Row row, long storeNowMillis) {
        PendingCounts counts = Json.decode(row.value(), PendingCounts.class);
        AnswerBasis basis =
                new AnswerBasis.CountRow(row.version(), counts.ageMillis(storeNowMillis));
        return toAnswer(queue, counts, storeNowMillis, basis);
    }

    private static AnswerWithBasis toAnswer(
            String queue, PendingCounts counts, long storeNowMillis, AnswerBasis basis) {
        return counts.isFresh(storeNowMillis)
                ? new AnswerWithBasis(new JobAnswer.Pending(counts.of(queue)), basis)
                : new AnswerWithBasis(countUnknown(), basis);
    }

    private static JobAnswer countUnknown() {
        return new JobAnswer.Unavailable(COUNT_UNKNOWN, RETRY_AFTER);
    }
}
