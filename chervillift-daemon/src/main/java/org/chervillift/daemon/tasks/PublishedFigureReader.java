package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowStore.Page;
import org.chervillift.core.tasks.admission.PublishedFigures;
import org.chervillift.http.Json;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Reads the figures that the holder publishes, while submissions arrive.
 *
 * <p>One read at a time serves all submissions. A read that fails or takes long leaves the figures
 * that were read before, which become too old to reject anything.
 */
final class PublishedFigureReader {

    /** As often as the holder writes them. */
    private static final long READ_INTERVAL_MILLIS = 500;

    /** Older figures are read again before a submission is decided; younger ones beside it. */
    private static final long WAIT_FROM_AGE_MILLIS = 1_000;

    /** A submission waits at most this long for figures, and is then decided without new ones. */
    private static final Duration MAX_WAIT = Duration.ofMillis(100);

    private final MonitoredStore store;
    private final Scheduler scheduler;
    private PublishedFigures newest = PublishedFigures.NONE;
    private CompletableFuture<Void> read = CompletableFuture.completedFuture(null);
    private long readSentAt = Long.MIN_VALUE / 2;
    private long readAt = Long.MIN_VALUE / 2;

    PublishedFigureReader(MonitoredStore store, Scheduler scheduler) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Returns the newest figures, and reads newer ones if they are due. */
    CompletionStage<PublishedFigures> figures() {
        long now = nowMillis();
        if (read.isDone() && now - readSentAt >= READ_INTERVAL_MILLIS) {
            startRead(now);
        }
        if (now - readAt < WAIT_FROM_AGE_MILLIS || read.isDone()) {
            return CompletableFuture.completedFuture(newest);
        }
        CompletableFuture<PublishedFigures> answer = new CompletableFuture<>();
        read.thenRun(() -> answer.complete(newest));
        scheduler.schedule(MAX_WAIT, () -> answer.complete(newest));
        return answer;
    }

    private void startRead(long now) {
        readSentAt = now;
        CompletableFuture<Void> current = new CompletableFuture<>();
        read = current;
        store.scan(
                        StoreLayout.PENDING_COUNTS_KEY.table(),
                        StoreLayout.HOLDER_PARTITION,
                        StoreLayout.singleKeyRange(StoreLayout.PENDING_COUNTS_KEY.key()))
                .thenAccept(this::apply)
                .whenComplete((page, fault) -> current.complete(null));
    }

    private void apply(Page page) {
        newest =
                page.rows().stream()
                        .findFirst()
                        .filter(r -> r.version() > store.clock().formerClockVersion())
                        .map(r -> Json.decode(r.value(), PendingCounts.class))
                        .map(c -> new PublishedFigures(c.figures(), c.asOfStoreMillis()))
                        .orElse(PublishedFigures.NONE);
        readAt = nowMillis();
    }

    /** Returns the latest time that the store's clock may show, in milliseconds; 0 if unknown. */
    long latestStoreMillis() {
        StoreClock clock = store.clock();
        return clock.isKnown() ? clock.latestStoreMillis(nowMillis()) : 0;
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }
}
