package org.chervillift.daemon.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.Transaction;
import org.chervillift.runtime.supervision.Part;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Deletes claims that are too old to match any request.
 *
 * <p>Every entry VM scans the old tables, each from a random starting position. Deleting the same
 * row twice is harmless, so no lease is needed.
 */
public final class ClaimCleaner implements Part {

    /** The interval between scans of two tables. */
    public static final Duration SCAN_INTERVAL = Duration.ofSeconds(30);

    private static final int MIN_AGE_WINDOWS = 3;
    private static final int SCANNED_WINDOWS = 24;
    private static final int MAX_ROWS_PER_TRANSACTION = 200;

    private final Platform platform;
    private final Scheduler scheduler;
    private final String tokenPrefix;
    private int position;
    private long transactionCount;
    private boolean running;

    /**
     * Creates a cleaner.
     *
     * @param incarnation an identifier of this process run, unique among all processes and restarts
     */
    public ClaimCleaner(
            Platform platform, Scheduler scheduler, String incarnation, RandomGenerator random) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.tokenPrefix = "claim-cleaner/" + Checks.notBlank("incarnation", incarnation) + "/";
        this.position = random.nextInt(SCANNED_WINDOWS * ClaimRowMapper.SHARDS_PER_WINDOW);
    }

    @Override
    public String name() {
        return "claim-cleaner";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        scheduler.schedule(SCAN_INTERVAL, this::cleanNextTable);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return CompletableFuture.completedFuture(null);
    }

    private void cleanNextTable() {
        if (!running) {
            return;
        }
        String table = nextTable(scheduler.now());
        platform.scan(table)
                .thenCompose(this::delete)
                .whenComplete(
                        (result, failure) ->
                                scheduler.schedule(SCAN_INTERVAL, this::cleanNextTable));
    }

    private String nextTable(Instant now) {
        int window = MIN_AGE_WINDOWS + position / ClaimRowMapper.SHARDS_PER_WINDOW;
        int shard = position % ClaimRowMapper.SHARDS_PER_WINDOW;
        position = (position + 1) % (SCANNED_WINDOWS * ClaimRowMapper.SHARDS_PER_WINDOW);
        return ClaimRowMapper.tableName(
                now.minus(ClaimRowMapper.TABLE_WINDOW.multipliedBy(window)), shard);
    }

    private CompletionStage<CommitResult> delete(List<Row> rows) {
        CompletionStage<CommitResult> result =
                CompletableFuture.completedFuture(new CommitResult.Committed());
        for (int from = 0; from < rows.size(); from += MAX_ROWS_PER_TRANSACTION) {
            List<Row> batch =
                    rows.subList(from, Math.min(rows.size(), from + MAX_ROWS_PER_TRANSACTION));
            result = result.thenCompose(ignored -> platform.commit(deletion(batch)));
        }
        return result;
    }

    private Transaction deletion(List<Row> rows) {
        List<Transaction.Write> writes = new ArrayList<>();
        rows.forEach(r -> writes.add(Transaction.Write.delete(r.key())));
        return new Transaction(tokenPrefix + transactionCount++, List.of(), writes);
    }
}
