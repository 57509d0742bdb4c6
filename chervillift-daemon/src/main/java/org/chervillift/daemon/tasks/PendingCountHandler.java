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
            return CompletableFuture.completedFuture(fromBoard(queue, currentBoard.get()));
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

    private static AnswerWithBasis fromBoard(String queue, HolderBoard board) {
        boolean fresh = PendingCounts.isFresh(board.basis().copyAgeMillis());
        return new AnswerWithBasis(
                fresh
                        ? new JobAnswer.Pending(
                                board.board().pendingByQueue().getOrDefault(queue, 0))
                        : countUnknown(),
                board.basis());
    }

    /** Answers from the holder's row; its age includes the latency of the read. */
    private AnswerWithBasis fromRow(String queue, Page page, long readMillis) {
        return page.rows().stream()
                .findFirst()
                .map(row -> fromRow(queue, row, page.storeMillis() + readMillis))
                .orElseGet(
                        () -> new AnswerWithBasis(countUnknown(), new AnswerBasis.CountRow(0, 0)));
    }

    private AnswerWithBasis fromRow(String queue, Row row, long storeNowMillis) {
        PendingCounts counts = Json.decode(row.value(), PendingCounts.class);
        AnswerBasis basis =
                new AnswerBasis.CountRow(row.version(), counts.ageMillis(storeNowMillis));
        boolean isAgeKnown = row.version() > store.clock().formerClockVersion();
        return isAgeKnown && counts.isFreshAt(storeNowMillis)
                ? new AnswerWithBasis(new JobAnswer.Pending(counts.of(queue)), basis)
                : new AnswerWithBasis(countUnknown(), basis);
    }

    private static JobAnswer countUnknown() {
        return new JobAnswer.Unavailable(COUNT_UNKNOWN, RETRY_AFTER);
    }
}
