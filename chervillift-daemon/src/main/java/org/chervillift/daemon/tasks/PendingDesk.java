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
 * Tells callers how many jobs of a queue wait.
 *
 * <p>The holder tells it from its board, other processes from the row that the holder writes. A
 * count of unknown or too great an age is not told: the caller is asked to come back.
 */
final class PendingDesk {

    private static final Duration RETRY_SOON = Duration.ofSeconds(1);
    private static final String NOT_KNOWN =
            "It is not known at the moment how many jobs of this queue wait.";

    private final WatchedStore store;
    private final Scheduler scheduler;
    private final Supplier<Optional<HeldBoard>> board;

    PendingDesk(WatchedStore store, Scheduler scheduler, Supplier<Optional<HeldBoard>> board) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.board = Checks.notNull("board", board);
    }

    /** Tells how many jobs of a queue wait. */
    CompletionStage<Told> tell(String queue) {
        Optional<HeldBoard> held = board.get();
        if (held.isPresent()) {
            PendingCounts counts = held.get().pending();
            long storeNow = Math.max(store.clock().at(now()), counts.asOfStoreMillis());
            return CompletableFuture.completedFuture(
                    answer(queue, counts, storeNow, held.get().basis()));
        }
        long askedAt = now();
        return store.scan(
                        JobRows.PENDING.table(),
                        JobRows.HOLDER_PART,
                        JobRows.only(JobRows.PENDING.key()))
                .thenApply(page -> fromRow(queue, page, now() - askedAt));
    }

    private long now() {
        return scheduler.now().toEpochMilli();
    }

    /** Answers from the holder's row; the age counts from when the read was sent. */
    private static Told fromRow(String queue, Page page, long readMillis) {
        return page.rows().stream()
                .findFirst()
                .map(row -> fromRow(queue, row, page.storeMillis() + readMillis))
                .orElseGet(() -> new Told(notKnown(), new Basis.CountRow(0, 0)));
    }

    private static Told fromRow(String queue, Row row, long storeNow) {
        PendingCounts counts = Json.decode(row.value(), PendingCounts.class);
        Basis basis = new Basis.CountRow(row.version(), counts.ageMillis(storeNow));
        return answer(queue, counts, storeNow, basis);
    }

    private static Told answer(String queue, PendingCounts counts, long storeNow, Basis basis) {
        return counts.mayBeTold(storeNow)
                ? new Told(new JobAnswer.Pending(counts.of(queue)), basis)
                : new Told(notKnown(), basis);
    }

    private static JobAnswer notKnown() {
        return new JobAnswer.Unavailable(NOT_KNOWN, RETRY_SOON);
    }
}
