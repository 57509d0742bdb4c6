package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.Changes;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/** Loads a table and follows its changes; reloads it when the store has lost the history. */
final class TableFollower {

    /** How long the store may wait for a change before it answers a poll. */
    static final Duration DEFAULT_POLL_WAIT = Duration.ofMillis(2_000);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_DELAY = Duration.ofMillis(800);

    /** A time before any, for a copy that is complete up to no time. */
    private static final long NEVER = 0;

    private static final long MAX_SILENCE_MILLIS = 3_500;
    private static final long TOLERATED_FAILURE_MILLIS = 300;

    private final RowStore store;
    private final String table;
    private final List<String> partitions;
    private final Duration pollWait;
    private final Supervision supervision;
    private final Scheduler scheduler;
    private final Supplier<StoreClock> storeClock;
    private final Listener listener;
    private final Runnable onProgress;
    private Duration retryDelay = MIN_RETRY_DELAY;
    private long position;
    private long lastAnswerAt;
    private long completeUntil = NEVER;
    private boolean loaded;
    private long failingSince;
    private boolean failing;
    private boolean listenerFailed;
    private boolean stopped;

    /** Receives the rows of the table. */
    interface Listener {

        /** Called with all rows after the table was loaded or reloaded. */
        void loaded(List<Row> rows);

        /** Called with the rows that changed. */
        void changed(List<Change> changes);
    }

    TableFollower(
            RowStore store,
            String table,
            List<String> parts,
            Duration wait,
            Supervision supervision,
            Supplier<StoreClock> storeClock,
            Listener listener) {
        this(store, table, parts, wait, supervision, storeClock, listener, () -> {});
    }

    /**
     * Creates a follower.
     *
     * @param onProgress called when the follower has gone on: its rows are applied, more were read,
     *     or the store has failed; not when the listener fails again and again
     */
    TableFollower(
            RowStore store,
            String table,
            List<String> parts,
            Duration wait,
            Supervision supervision,
            Supplier<StoreClock> storeClock,
            Listener listener,
            Runnable onProgress) {
        this.store = Checks.notNull("store", store);
        this.table = Checks.notBlank("table", table);
        this.partitions = List.copyOf(parts);
        this.pollWait = Checks.notNull("wait", wait);
        this.supervision = Checks.notNull("supervision", supervision);
        this.scheduler = supervision.scheduler();
        this.storeClock = Checks.notNull("storeClock", storeClock);
        this.listener = Checks.notNull("listener", listener);
        this.onProgress = Checks.notNull("onProgress", onProgress);
    }

    void start() {
        lastAnswerAt = nowMillis();
        loadAll();
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    void stop() {
        stopped = true;
    }

    /** Returns whether the table has been loaded. */
    boolean isLoaded() {
        return loaded;
    }

    /**
     * Returns up to when all changes of the table have been received, by this process's monotonic
     * clock, in milliseconds; the time is that of the store's answer, at the earliest.
     */
    long completeUntil() {
        return completeUntil;
    }

    /** Returns whether the table is loaded and its changes are being received. */
    boolean isHealthy() {
        return loaded
                && nowMillis() - lastAnswerAt < MAX_SILENCE_MILLIS
                && (!failing || nowMillis() - failingSince < TOLERATED_FAILURE_MILLIS);
    }

    /** Returns whether the last call succeeded, and an answer has come since a given time. */
    boolean hasAnswerSince(long millis) {
        return !failing && lastAnswerAt >= millis;
    }

    /** Loads all partitions in parallel; changes are followed from the oldest version read. */
    private void loadAll() {
        PendingLoad load = new PendingLoad(partitions.size());
        partitions.forEach(p -> loadPartition(load, p, KeyRange.ALL));
    }

    /** The state of a load that is in progress. */
    private static final class PendingLoad {
        private final List<Row> rows = new ArrayList<>();
        private long oldestVersion = Long.MAX_VALUE;
        private long oldestReadAt = Long.MAX_VALUE;
        private int openPartitions;
        private boolean failed;

        PendingLoad(int openPartitions) {
            this.openPartitions = openPartitions;
        }
    }

    private void loadPartition(PendingLoad load, String partition, KeyRange range) {
        if (stopped) {
            return;
        }
        long sentAt = nowMillis();
        supervision.whenAnswered(
                loopName(),
                store.scan(table, partition, range),
                (page, fault) -> {
                    if (load.failed) {
                        return;
                    }
                    if (fault != null) {
                        // Retries only this page; the pages read before are kept.
                        onFailure(fault, () -> loadPartition(load, partition, range));
                    } else if (page.storeVersion() < position) {
                        // The page is older than known changes; start over.
                        load.failed = true;
                        onFailure(
                                new IllegalStateException("the store returned an outdated page"),
                                this::loadAll);
                    } else {
                        onPage(load, partition, page, sentAt);
                    }
                },
                () -> {
                    load.failed = true;
                    reloadAfterFailure();
                });
    }

    private String loopName() {
        return "table " + table;
    }

    /**
     * Reads the table whole after the listener has failed: it may have applied a part of what it
     * was told, and the rows that it was told last are not told again. Until then the copy does not
     * count as current.
     */
    private void reloadAfterFailure() {
        completeUntil = NEVER;
        retryDelay = MAX_RETRY_DELAY;
        listenerFailed = true;
        onFailure(new IllegalStateException("its rows could not be applied"), this::loadAll);
    }

    private void onPage(PendingLoad load, String partition, RowStore.Page page, long sentAt) {
        onAnswer();
        load.rows.addAll(page.rows());
        load.oldestVersion = Math.min(load.oldestVersion, page.storeVersion());
        long readAt = answeredAt(page.storeMillis(), page.storeVersion(), sentAt);
        load.oldestReadAt = Math.min(load.oldestReadAt, readAt);
        if (page.hasMore() && !page.rows().isEmpty()) {
            String last = page.rows().get(page.rows().size() - 1).key().key();
            loadPartition(load, partition, KeyRange.after(last));
            return;
        }
        load.openPartitions--;
        if (load.openPartitions == 0) {
            onAllLoaded(load);
        }
    }

    private void onAllLoaded(PendingLoad load) {
        if (stopped) {
            return;
        }
        position = load.oldestVersion;
        completeUntil = load.oldestReadAt;
        loaded = true;
        EventLog.log(
                TaskEvent.TABLE_LOADED,
                Field.of("table", table),
                Field.of("version", position),
                Field.of("rows", load.rows.size()));
        listener.loaded(load.rows);
        onApplied();
        follow();
    }

    private void follow() {
        if (stopped) {
            return;
        }
        // After a failure, do not wait for a change: any answer shows that the store is back.
        long sentAt = nowMillis();
        supervision.whenAnswered(
                loopName(),
                store.follow(table, position, failing ? Duration.ZERO : pollWait),
                (changes, fault) -> {
                    if (fault != null) {
                        onFailure(fault, this::follow);
                    } else {
                        onChanges(changes, sentAt);
                    }
                },
                this::reloadAfterFailure);
    }

    private void onChanges(Changes changes, long sentAt) {
        if (stopped) {
            return;
        }
        switch (changes) {
            case Changes.Next next -> {
                onAnswer();
                position = Math.max(position, next.position());
                completeUntil = answeredAt(next.storeMillis(), next.position(), sentAt);
                if (!next.rows().isEmpty()) {
                    listener.changed(next.rows());
                }
                onApplied();
                follow();
            }
            case Changes.HistoryLost h -> {
                EventLog.log(
                        TaskEvent.HISTORY_LOST,
                        Field.of("table", table),
                        Field.of("version", position));
                scheduler.schedule(MIN_RETRY_DELAY, this::loadAll);
            }
        }
    }

    /** Returns when the store answered a call that was just completed, at the earliest. */
    private long answeredAt(long storeMillis, long version, long sentAt) {
        return storeClock
                .get()
                .earliestStampedAt(new StoreClock.Stamp(storeMillis, version, sentAt, nowMillis()));
    }

    private void onApplied() {
        listenerFailed = false;
        reportProgress();
    }

    /** Reports that the follower goes on, unless its rows were read and could not be applied. */
    private void reportProgress() {
        if (!listenerFailed) {
            onProgress.run();
        }
    }

    private void onAnswer() {
        reportProgress();
        lastAnswerAt = nowMillis();
        retryDelay = MIN_RETRY_DELAY;
        failing = false;
    }

    private void onFailure(Throwable fault, Runnable retry) {
        if (stopped) {
            return;
        }
        reportProgress();
        if (!failing) {
            failing = true;
            failingSince = nowMillis();
            EventLog.log(
                    TaskEvent.TABLE_UNAVAILABLE,
                    Field.of("table", table),
                    Field.of("version", position),
                    Field.of("why", fault.getMessage()));
        }
        scheduler.schedule(retryDelay, retry);
        Duration next = retryDelay.multipliedBy(2);
        retryDelay = next.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : next;
    }
}
