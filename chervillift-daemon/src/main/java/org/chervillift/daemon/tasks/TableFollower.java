package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.Changes;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Reads a table whole, then follows its changes, and starts over where the history is lost. */
final class TableFollower {

    /** How long the store may wait for a change before it answers. */
    static final Duration USUAL_WAIT = Duration.ofMillis(2_000);

    private static final Duration FIRST_PAUSE = Duration.ofMillis(100);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(800);

    private static final long MOST_SILENCE_MILLIS = 3_500;
    private static final long SHORT_FAILURE_MILLIS = 300;

    private final RowStore store;
    private final String table;
    private final List<String> parts;
    private final Duration wait;
    private final Scheduler scheduler;
    private final Listener listener;
    private Duration pause = FIRST_PAUSE;
    private long position;
    private long lastAnswerAt;
    private long asOfStoreMillis;
    private boolean loaded;
    private long lostAt;
    private boolean lost;
    private boolean stopped;

    /** Told of the rows. */
    interface Listener {

        /** Takes all rows of the table. */
        void loaded(List<Row> rows);

        /** Takes rows that changed. */
        void changed(List<Change> changes);
    }

    TableFollower(
            RowStore store,
            String table,
            List<String> parts,
            Duration wait,
            Scheduler scheduler,
            Listener listener) {
        this.store = Checks.notNull("store", store);
        this.table = Checks.notBlank("table", table);
        this.parts = List.copyOf(parts);
        this.wait = Checks.notNull("wait", wait);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.listener = Checks.notNull("listener", listener);
    }

    void start() {
        lastAnswerAt = now();
        loadAll();
    }

    private long now() {
        return scheduler.now().toEpochMilli();
    }

    void stop() {
        stopped = true;
    }

    /** Returns whether the table has been read whole. */
    boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns up to when all changes of the table are known here, by the store's clock, in
     * milliseconds; 0 if it is not known.
     */
    long asOfStoreMillis() {
        return asOfStoreMillis;
    }

    /** Returns whether the store answers as far as is known. */
    boolean isHealthy() {
        return loaded
                && now() - lastAnswerAt < MOST_SILENCE_MILLIS
                && (!lost || now() - lostAt < SHORT_FAILURE_MILLIS);
    }

    /** Reads all partitions side by side; the oldest of the reads is where to follow from. */
    private void loadAll() {
        Loading loading = new Loading(parts.size());
        parts.forEach(p -> load(loading, p, KeyRange.ALL));
    }

    /** The rows of a table that is being read. */
    private static final class Loading {
        private final List<Row> rows = new ArrayList<>();
        private long oldest = Long.MAX_VALUE;
        private long oldestMillis = Long.MAX_VALUE;
        private int open;
        private boolean failed;

        Loading(int open) {
            this.open = open;
        }
    }

    private void load(Loading loading, String part, KeyRange range) {
        if (stopped) {
            return;
        }
        store.scan(table, part, range)
                .whenComplete(
                        (page, fault) -> {
                            if (loading.failed) {
                                return;
                            }
                            if (fault != null) {
                                // What was read before the failure is not read again.
                                failed(fault, () -> load(loading, part, range));
                            } else if (page.storeVersion() < position) {
                                // A read that is older than what is known is of no use.
                                loading.failed = true;
                                failed(new IllegalStateException("stale read"), this::loadAll);
                            } else {
                                takePage(loading, part, page);
                            }
                        });
    }

    private void takePage(Loading loading, String part, RowStore.Page page) {
        answered();
        loading.rows.addAll(page.rows());
        loading.oldest = Math.min(loading.oldest, page.storeVersion());
        loading.oldestMillis = Math.min(loading.oldestMillis, page.storeMillis());
        if (page.hasMore() && !page.rows().isEmpty()) {
            String last = page.rows().get(page.rows().size() - 1).key().key();
            load(loading, part, KeyRange.after(last));
            return;
        }
        loading.open--;
        if (loading.open == 0) {
            takeWhole(loading);
        }
    }

    private void takeWhole(Loading loading) {
        if (stopped) {
            return;
        }
        position = loading.oldest;
        asOfStoreMillis = loading.oldestMillis;
        loaded = true;
        EventLog.log(
                TaskEvent.TABLE_FOUND,
                Field.of("table", table),
                Field.of("version", position),
                Field.of("rows", loading.rows.size()));
        listener.loaded(loading.rows);
        follow();
    }

    private void follow() {
        if (stopped) {
            return;
        }
        // After a failure an answer is wanted at once, as it tells that the store is back.
        store.follow(table, position, lost ? Duration.ZERO : wait)
                .whenComplete(
                        (changes, fault) -> {
                            if (fault != null) {
                                failed(fault, this::follow);
                            } else {
                                take(changes);
                            }
                        });
    }

    private void take(Changes changes) {
        if (stopped) {
            return;
        }
        switch (changes) {
            case Changes.Next next -> {
                answered();
                position = Math.max(position, next.position());
                asOfStoreMillis = next.storeMillis();
                if (!next.rows().isEmpty()) {
                    listener.changed(next.rows());
                }
                follow();
            }
            case Changes.HistoryLost h -> {
                EventLog.log(
                        TaskEvent.HISTORY_LOST,
                        Field.of("table", table),
                        Field.of("version", position));
                loadAll();
            }
        }
    }

    private void answered() {
        lastAnswerAt = now();
        pause = FIRST_PAUSE;
        lost = false;
    }

    private void failed(Throwable fault, Runnable again) {
        if (stopped) {
            return;
        }
        if (!lost) {
            lost = true;
            lostAt = now();
            EventLog.log(
                    TaskEvent.TABLE_LOST,
                    Field.of("table", table),
                    Field.of("version", position),
                    Field.of("why", fault.getMessage()));
        }
        scheduler.schedule(pause, again);
        Duration next = pause.multipliedBy(2);
        pause = next.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : next;
    }
}
