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
 * Removes claims that no request can meet any more.
 *
 * <p>Every entry VM goes through the old tables from a place of its own. Two that remove the same
 * row do no harm, so this needs no lease.
 */
public final class ClaimCleaner implements Part {

    /** The time between two reads of a table. */
    public static final Duration STEP = Duration.ofSeconds(30);

    private static final int NEWEST_OLD_WINDOW = 3;
    private static final int OLD_WINDOWS = 24;
    private static final int MOST_ROWS = 200;

    private final Platform platform;
    private final Scheduler scheduler;
    private final String tokenPrefix;
    private int place;
    private long transactions;
    private boolean running;

    /**
     * Creates a cleaner.
     *
     * @param incarnation a text that no other process uses, nor an earlier one on this VM
     */
    public ClaimCleaner(
            Platform platform, Scheduler scheduler, String incarnation, RandomGenerator random) {
        this.platform = Checks.notNull("platform", platform);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.tokenPrefix = "claim-cleaner/" + Checks.notBlank("incarnation", incarnation) + "/";
        this.place = random.nextInt(OLD_WINDOWS * ClaimStore.SHARDS);
    }

    @Override
    public String name() {
        return "claim-cleaner";
    }

    @Override
    public CompletionStage<Void> start(Consumer<Throwable> onFailure) {
        running = true;
        scheduler.schedule(STEP, this::step);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletionStage<Void> stop() {
        running = false;
        return CompletableFuture.completedFuture(null);
    }

    private void step() {
        if (!running) {
            return;
        }
        String table = nextTable(scheduler.now());
        platform.scan(table)
                .thenCompose(this::delete)
                .whenComplete((done, fault) -> scheduler.schedule(STEP, this::step));
    }

    private String nextTable(Instant now) {
        int window = NEWEST_OLD_WINDOW + place / ClaimStore.SHARDS;
        int shard = place % ClaimStore.SHARDS;
        place = (place + 1) % (OLD_WINDOWS * ClaimStore.SHARDS);
        return ClaimStore.table(now.minus(ClaimStore.WINDOW.multipliedBy(window)), shard);
    }

    private CompletionStage<CommitResult> delete(List<Row> rows) {
        CompletionStage<CommitResult> done =
                CompletableFuture.completedFuture(new CommitResult.Committed());
        for (int from = 0; from < rows.size(); from += MOST_ROWS) {
            List<Row> part = rows.subList(from, Math.min(rows.size(), from + MOST_ROWS));
            done = done.thenCompose(ignored -> platform.commit(deletion(part)));
        }
        return done;
    }

    private Transaction deletion(List<Row> rows) {
        List<Transaction.Write> writes = new ArrayList<>();
        rows.forEach(r -> writes.add(Transaction.Write.delete(r.key())));
        return new Transaction(tokenPrefix + transactions++, List.of(), writes);
    }
}
