package org.chervillift.bench.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.PlatformException;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;

/** The store as one process sees it: requests and replies travel apart and may be lost. */
final class FakePlatform implements Platform {

    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final FakeStore store;
    private final FaultyNetwork network;
    private final String dataCentre;
    private final ProcessClock clock;
    private final Runnable afterCommit;

    FakePlatform(
            FakeStore store,
            FaultyNetwork network,
            String dataCentre,
            ProcessClock clock,
            Runnable afterCommit) {
        this.store = store;
        this.network = network;
        this.dataCentre = dataCentre;
        this.clock = clock;
        this.afterCommit = afterCommit;
    }

    @Override
    public CompletionStage<List<Row>> read(List<RowKey> keys) {
        return call(() -> store.read(keys));
    }

    @Override
    public CompletionStage<List<Row>> scan(String table) {
        return call(() -> store.scan(table));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return call(
                () -> {
                    CommitResult result = store.commit(transaction);
                    afterCommit.run();
                    return result;
                });
    }

    @Override
    public CompletionStage<Optional<String>> getObject(String name) {
        return call(() -> store.object(name));
    }

    @Override
    public CompletionStage<Void> putObject(String name, String content) {
        return call(
                () -> {
                    store.putObject(name, content);
                    return null;
                });
    }

    @Override
    public CompletionStage<List<ListedVm>> listVms() {
        return call(List::of);
    }

    private <T> CompletionStage<T> call(Supplier<T> operation) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        network.toStore(
                dataCentre,
                () -> {
                    T result = operation.get();
                    network.toStore(dataCentre, () -> clock.run(() -> answer.complete(result)));
                });
        clock.schedule(
                TIMEOUT,
                () -> answer.completeExceptionally(new PlatformException("No answer.", null)));
        return answer;
    }
}
