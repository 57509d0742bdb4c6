package org.chervillift.daemon.tasks;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.standin.tasks.MemoryStore;
import org.chervillift.standin.tasks.StoreFault;
import org.junit.jupiter.api.Test;

class TableFollowerTest {

    private static final String TABLE = "t";
    private static final List<String> PARTITIONS = List.of("p-0", "p-1", "p-2");
    private static final int ROWS_PER_PARTITION = 1_300;
    private static final int SEED_COUNT = 10;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);
    private final Map<RowKey, String> expectedRows = new HashMap<>();
    private final Map<RowKey, String> followedRows = new HashMap<>();
    private int writeCount;

    private final class CopyListener implements TableFollower.Listener {

        @Override
        public void loaded(List<Row> rows) {
            followedRows.clear();
            rows.forEach(r -> followedRows.put(r.key(), r.value()));
        }

        @Override
        public void changed(List<Change> changes) {
            for (Change change : changes) {
                change.value()
                        .ifPresentOrElse(
                                v -> followedRows.put(change.key(), v),
                                () -> followedRows.remove(change.key()));
            }
        }
    }

    private void write(String part, int number, boolean delete) {
        RowKey key = new RowKey(TABLE, part + "-%05d".formatted(number));
        String value = Integer.toString(writeCount++);
        store.commit(part, List.of(), List.of(delete ? Write.delete(key) : Write.put(key, value)));
        if (delete) {
            expectedRows.remove(key);
        } else {
            expectedRows.put(key, value);
        }
    }

    private void advanceMillis(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    @Test
    void tableThatChangesDuringTheLoadIsFollowedCompletely() {
        for (int seed = 0; seed < SEED_COUNT; seed++) {
            followWithRandomChanges(new Random(seed));
            assertThat(followedRows).as("seed %d", seed).isEqualTo(expectedRows);
        }
    }

    /** A listener that threw once was never called again. */
    @Test
    void tableIsReadAnewAfterItsListenerHasThrown() {
        ThrowingListener listener = new ThrowingListener();
        TableFollower follower = follower(listener);
        write("p-0", 1, false);
        follower.start();
        advanceMillis(1_000);
        listener.throwNext = true;
        write("p-1", 2, false);
        advanceMillis(1_000);
        write("p-2", 3, false);
        advanceMillis(3_000);
        follower.stop();
        assertThat(followedRows).isEqualTo(expectedRows).hasSize(3);
    }

    /** Throws twice: when it is told of all rows, and when it is told of a change. */
    private final class ThrowingListener implements TableFollower.Listener {

        private final CopyListener copy = new CopyListener();
        private boolean throwNext = true;

        @Override
        public void loaded(List<Row> rows) {
            throwIfPlanned();
            copy.loaded(rows);
        }

        @Override
        public void changed(List<Change> changes) {
            throwIfPlanned();
            copy.changed(changes);
        }

        private void throwIfPlanned() {
            if (throwNext) {
                throwNext = false;
                throw new IllegalStateException("injected");
            }
        }
    }

    private TableFollower follower(TableFollower.Listener listener) {
        return new TableFollower(
                store,
                TABLE,
                PARTITIONS,
                TableFollower.DEFAULT_POLL_WAIT,
                new Supervision(scheduler, new TaskMetrics()),
                () -> StoreClock.UNKNOWN,
                listener);
    }

    private void followWithRandomChanges(Random random) {
        PARTITIONS.forEach(
                p -> {
                    for (int i = 0; i < ROWS_PER_PARTITION; i++) {
                        write(p, 2 * i, false);
                    }
                });
        advanceMillis(10);
        TableFollower follower = follower(new CopyListener());
        follower.start();
        for (int i = 0; i < 300; i++) {
            String part = PARTITIONS.get(random.nextInt(PARTITIONS.size()));
            write(part, random.nextInt(2 * ROWS_PER_PARTITION), random.nextInt(3) == 0);
            int draw = random.nextInt(20);
            store.setFault(draw == 0 ? StoreFault.FORGETFUL : StoreFault.NONE);
            advanceMillis(1 + random.nextInt(3));
        }
        store.setFault(StoreFault.NONE);
        advanceMillis(3_000);
        follower.stop();
    }
}
