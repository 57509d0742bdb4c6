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
    private static final List<String> PARTS = List.of("p-0", "p-1", "p-2");
    private static final int ROWS_IN_A_PART = 1_300;
    private static final int SEEDS = 10;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final MemoryStore store = new MemoryStore(scheduler);
    private final Map<RowKey, String> written = new HashMap<>();
    private final Map<RowKey, String> followed = new HashMap<>();
    private int values;

    private final class Copy implements TableFollower.Listener {

        @Override
        public void loaded(List<Row> rows) {
            followed.clear();
            rows.forEach(r -> followed.put(r.key(), r.value()));
        }

        @Override
        public void changed(List<Change> changes) {
            for (Change change : changes) {
                change.value()
                        .ifPresentOrElse(
                                v -> followed.put(change.key(), v),
                                () -> followed.remove(change.key()));
            }
        }
    }

    private void write(String part, int number, boolean delete) {
        RowKey key = new RowKey(TABLE, part + "-%05d".formatted(number));
        String value = Integer.toString(values++);
        store.commit(part, List.of(), List.of(delete ? Write.delete(key) : Write.put(key, value)));
        if (delete) {
            written.remove(key);
        } else {
            written.put(key, value);
        }
    }

    private void pass(long millis) {
        scheduler.advance(Duration.ofMillis(millis));
    }

    @Test
    void aTableThatChangesWhileItsPagesAreReadIsFollowedWhole() {
        for (int seed = 0; seed < SEEDS; seed++) {
            change(new Random(seed));
            assertThat(followed).as("seed %d", seed).isEqualTo(written);
        }
    }

    private void change(Random random) {
        PARTS.forEach(
                p -> {
                    for (int i = 0; i < ROWS_IN_A_PART; i++) {
                        write(p, 2 * i, false);
                    }
                });
        pass(10);
        TableFollower follower =
                new TableFollower(
                        store, TABLE, PARTS, TableFollower.USUAL_WAIT, scheduler, new Copy());
        follower.start();
        for (int i = 0; i < 300; i++) {
            String part = PARTS.get(random.nextInt(PARTS.size()));
            write(part, random.nextInt(2 * ROWS_IN_A_PART), random.nextInt(3) == 0);
            int draw = random.nextInt(20);
            store.setFault(draw == 0 ? StoreFault.FORGETFUL : StoreFault.NONE);
            pass(1 + random.nextInt(3));
        }
        store.setFault(StoreFault.NONE);
        pass(3_000);
        follower.stop();
    }
}
