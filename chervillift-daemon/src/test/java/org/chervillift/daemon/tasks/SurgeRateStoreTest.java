package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.core.tasks.vms.PoolSettings;
import org.junit.jupiter.api.Test;

/** Guards against a next holder that knows no surge, and against rows that nobody asked for. */
class SurgeRateStoreTest {

    private static final int LONGEST_ENTRY_BYTES = 100;
    private static final PoolSettings FORECASTING = new PoolSettings(2_300, 600, 0.34, true);

    private final NodeFixture fixture = new NodeFixture();

    private Optional<String> storedAfterASurge(PoolSettings pools) {
        fixture.addVm("a");
        TaskNode node =
                fixture.startNode(
                        NodeFixture.settings("n", 1_000, pools), fixture.delayingStore, "n/1");
        fixture.advanceMillis(500);
        for (int i = 0; i < 60; i++) {
            String id = String.format("%016x", i);
            node.answer(NodeFixture.request(JobRequest.Action.SUBMIT, id, NodeFixture.KEY, 1));
            fixture.advanceMillis(50);
        }
        fixture.advanceMillis(3_000);
        return storedRow();
    }

    private Optional<String> storedRow() {
        var page =
                fixture.store
                        .scan(
                                SurgeRateStore.ROW_KEY.table(),
                                StoreLayout.HOLDER_PARTITION,
                                KeyRange.ALL,
                                1)
                        .toCompletableFuture();
        fixture.advanceMillis(100);
        return page.join().rows().stream().findFirst().map(Row::value);
    }

    @Test
    void theRateOfASurgeIsStoredInABoundedRow() {
        Optional<String> row = storedAfterASurge(FORECASTING);
        assertThat(row).hasValueSatisfying(v -> assertThat(v).contains(NodeFixture.POOL));
        assertThat(row.orElseThrow()).hasSizeLessThan(LONGEST_ENTRY_BYTES);
    }

    @Test
    void nothingIsStoredUnlessTheSettingsCallForForecasts() {
        assertThat(storedAfterASurge(PoolSettings.DEFAULT)).isEmpty();
    }
}
