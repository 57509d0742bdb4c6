package org.chervillift.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.PlatformException;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.runtime.supervision.Scheduler;

/** A table service in virtual time that is down at times and loses requests and replies. */
final class SoakPlatform implements Platform {

    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int MOST_LATENCY_MILLIS = 15;
    private static final int MOST_LATE_MILLIS = 3_000;
    private static final int LOST_OF_100 = 4;
    private static final int TWICE_OF_100 = 5;

    private final Scheduler scheduler;
    private final Random random;
    private final boolean keepsConditions;
    private final Map<RowKey, Row> rows = new HashMap<>();
    private final Map<RowKey, Long> versions = new HashMap<>();
    private final Map<String, CommitResult> outcomes = new HashMap<>();
    private boolean down;
    private long commits;

    SoakPlatform(Scheduler scheduler, Random random, boolean keepsConditions) {
        this.scheduler = scheduler;
        this.random = random;
        this.keepsConditions = keepsConditions;
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    long commits() {
        return commits;
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        commits++;
        CompletableFuture<CommitResult> stage = new CompletableFuture<>();
        boolean arrives = !chance(LOST_OF_100) && (!down || chance(LOST_OF_100));
        boolean replies = arrives && !down && !chance(LOST_OF_100);
        if (arrives) {
            scheduler.schedule(
                    latency(),
                    () -> {
                        CommitResult result = apply(transaction);
                        if (replies) {
                            scheduler.schedule(latency(), () -> stage.complete(result));
                        }
                    });
        }
        if (chance(TWICE_OF_100)) {
            Duration late = Duration.ofMillis(random.nextInt(MOST_LATE_MILLIS));
            scheduler.schedule(late, () -> apply(transaction));
        }
        return orTimeout(stage);
    }

    private CommitResult apply(Transaction transaction) {
        CommitResult known = outcomes.get(transaction.token());
        if (known != null) {
            return known;
        }
        CommitResult result = new CommitResult.Committed();
        for (Transaction.Condition c : transaction.conditions()) {
            long version = rows.containsKey(c.key()) ? rows.get(c.key()).version() : 0;
            if (keepsConditions && version != c.version()) {
                result = new CommitResult.Conflict(c.key());
                break;
            }
        }
        if (result instanceof CommitResult.Committed) {
            transaction.writes().forEach(this::write);
        }
        outcomes.put(transaction.token(), result);
        return result;
    }

    private void write(Transaction.Write write) {
        long version = versions.merge(write.key(), 1L, Long::sum);
        write.value()
                .ifPresentOrElse(
                        v -> rows.put(write.key(), new Row(write.key(), version, v)),
                        () -> rows.remove(write.key()));
    }

    @Override
    public CompletionStage<List<Row>> read(List<RowKey> keys) {
        CompletableFuture<List<Row>> stage = new CompletableFuture<>();
        if (!down && !chance(LOST_OF_100)) {
            scheduler.schedule(
                    latency(),
                    () -> {
                        List<Row> found = new ArrayList<>();
                        keys.forEach(k -> Optional.ofNullable(rows.get(k)).ifPresent(found::add));
                        scheduler.schedule(latency(), () -> stage.complete(found));
                    });
        }
        return orTimeout(stage);
    }

    private <T> CompletableFuture<T> orTimeout(CompletableFuture<T> stage) {
        scheduler.schedule(
                TIMEOUT,
                () -> stage.completeExceptionally(new PlatformException("No reply.", null)));
        return stage;
    }

    private boolean chance(int ofHundred) {
        return random.nextInt(100) < ofHundred;
    }

    private Duration latency() {
        return Duration.ofMillis(1L + random.nextInt(MOST_LATENCY_MILLIS));
    }

    @Override
    public CompletionStage<List<Row>> scan(String table) {
        throw new UnsupportedOperationException("no part of this run");
    }

    @Override
    public CompletionStage<Optional<String>> getObject(String name) {
        throw new UnsupportedOperationException("no part of this run");
    }

    @Override
    public CompletionStage<Void> putObject(String name, String content) {
        throw new UnsupportedOperationException("no part of this run");
    }

    @Override
    public CompletionStage<List<ListedVm>> listVms() {
        throw new UnsupportedOperationException("no part of this run");
    }
}
