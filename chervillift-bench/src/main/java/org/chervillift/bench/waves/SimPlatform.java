package org.chervillift.bench.waves;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.runtime.supervision.Scheduler;

/** The platform as one simulated process reaches it. */
final class SimPlatform implements Platform {

    private final SimStore store;
    private final SimNetwork network;
    private final Scheduler process;

    SimPlatform(SimStore store, SimNetwork network, Scheduler process) {
        this.store = store;
        this.network = network;
        this.process = process;
    }

    @Override
    public CompletionStage<List<Row>> read(List<RowKey> keys) {
        return network.call(process, () -> store.read(keys));
    }

    @Override
    public CompletionStage<List<Row>> scan(String table) {
        return network.call(process, () -> store.scan(table));
    }

    @Override
    public CompletionStage<CommitResult> commit(Transaction transaction) {
        return network.call(process, () -> store.commit(transaction, process.now()));
    }

    @Override
    public CompletionStage<Optional<String>> getObject(String name) {
        throw new UnsupportedOperationException("objects");
    }

    @Override
    public CompletionStage<Void> putObject(String name, String content) {
        throw new UnsupportedOperationException("objects");
    }

    @Override
    public CompletionStage<List<ListedVm>> listVms() {
        return network.call(process, () -> store.list(process.now()));
    }
}
