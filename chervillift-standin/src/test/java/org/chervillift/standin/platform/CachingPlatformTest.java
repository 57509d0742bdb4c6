package org.chervillift.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.platform.CommitResult;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.api.platform.Platform;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.platform.CachingPlatform;
import org.chervillift.platform.StampingPlatform;
import org.junit.jupiter.api.Test;

class CachingPlatformTest {

    private static final RowKey VM_1 = new RowKey("vm", "vm-1");
    private static final RowKey OTHER = new RowKey("wave", "w");

    private final CountingPlatform store = new CountingPlatform();
    private final Platform writer = new StampingPlatform(store, Set.of("vm"));
    private final CachingPlatform reader = new CachingPlatform(store);

    @Test
    void scansAgainOnlyAfterAChange() {
        put(writer, VM_1, "1");
        assertThat(scan()).containsExactly("1");
        assertThat(scan()).containsExactly("1");
        assertThat(store.scans).isEqualTo(1);

        put(writer, VM_1, "2");
        assertThat(scan()).containsExactly("2");
        assertThat(store.scans).isEqualTo(2);
    }

    @Test
    void aWriteToAnotherTableCausesNoScan() {
        put(writer, VM_1, "1");
        scan();

        put(writer, OTHER, "x");
        scan();

        assertThat(store.scans).isEqualTo(1);
    }

    @Test
    void aTableWithoutAStampIsAlwaysRead() {
        put(store, VM_1, "1");
        scan();
        put(store, VM_1, "2");

        assertThat(scan()).containsExactly("2");
    }

    @Test
    void aWriterThatSetsNoStampIsSeenLateAndNotNever() {
        put(writer, VM_1, "1");
        scan();
        put(store, VM_1, "2");
        for (int i = 0; i < CachingPlatform.MAX_CACHE_USES; i++) {
            scan();
        }

        assertThat(scan()).containsExactly("2");
    }

    private List<String> scan() {
        return reader.scan("vm").toCompletableFuture().join().stream().map(Row::value).toList();
    }

    private static void put(Platform platform, RowKey key, String value) {
        String token = key + value + System.identityHashCode(platform);
        platform.commit(
                        new Transaction(
                                token, List.of(), List.of(Transaction.Write.put(key, value))))
                .toCompletableFuture()
                .join();
    }

    private static final class CountingPlatform implements Platform {
        private final PlatformState state = new PlatformState();
        private int scans;

        @Override
        public CompletionStage<List<Row>> read(List<RowKey> keys) {
            return CompletableFuture.completedFuture(state.read(keys));
        }

        @Override
        public CompletionStage<List<Row>> scan(String table) {
            scans++;
            return CompletableFuture.completedFuture(state.scan(table));
        }

        @Override
        public CompletionStage<CommitResult> commit(Transaction transaction) {
            return CompletableFuture.completedFuture(state.commit(transaction));
        }

        @Override
        public CompletionStage<Optional<String>> getObject(String name) {
            return CompletableFuture.completedFuture(state.getObject(name));
        }

        @Override
        public CompletionStage<Void> putObject(String name, String content) {
            state.putObject(name, content);
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletionStage<List<ListedVm>> listVms() {
            return CompletableFuture.completedFuture(List.of());
        }
    }
}
