package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * Wraps a store and tracks whether it responds.
 *
 * <p>While the store cannot be reached, requests can thus be refused at once instead of each
 * waiting for a timeout. After a failed call, small reads probe whether the store is back.
 */
final class MonitoredStore implements RowStore {

    private static final Duration PROBE_INTERVAL = Duration.ofMillis(200);

    /** Replicas with clocks of their own would contradict each other in each answer. */
    private static final Duration CHANGE_LOG_INTERVAL = Duration.ofSeconds(1);

    private final RowStore delegate;
    private final Scheduler scheduler;
    private StoreClock clock = StoreClock.UNKNOWN;
    private long nextChangeLogAt = Long.MIN_VALUE;
    private boolean unresponsive;
    private long unresponsiveSince;
    private Optional<String> lastFailure = Optional.empty();

    /** The store's time and its newest version in an answer; 0 if it contains none. */
    private record StoreTime(long millis, long version) {
        private static final StoreTime UNKNOWN = new StoreTime(0, 0);
    }

    MonitoredStore(RowStore delegate, Scheduler scheduler) {
        this.delegate = Checks.notNull("delegate", delegate);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Returns whether the last call failed. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Returns for how long calls have failed, in milliseconds; 0 if the last one did not. */
    long unresponsiveMillis() {
        return unresponsive ? nowMillis() - unresponsiveSince : 0;
    }

    /** Returns the failure of the last call, if it failed. */
    Optional<String> lastFailure() {
        return lastFailure;
    }

    /** Returns what the answers of the store tell of its clock. */
    StoreClock clock() {
        return clock;
    }

    @Override
    public CompletionStage<Page> scan(String table, String partition, KeyRange range, int maxRows) {
        return monitor(
                () -> delegate.scan(table, partition, range, maxRows),
                page -> new StoreTime(page.storeMillis(), page.storeVersion()));
    }

    @Override
    public CompletionStage<Outcome> commit(
            String partition, List<Condition> conditions, List<Write> writes) {
        return monitor(
                () -> delegate.commit(partition, conditions, writes), MonitoredStore::timeOf);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return monitor(() -> delegate.follow(table, afterVersion, wait), MonitoredStore::timeOf);
    }

    private static StoreTime timeOf(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Committed c -> new StoreTime(c.storeMillis(), c.version());
            case Outcome.Conflict c -> StoreTime.UNKNOWN;
        };
    }

    private static StoreTime timeOf(Changes changes) {
        return switch (changes) {
            case Changes.Next n -> new StoreTime(n.storeMillis(), n.position());
            case Changes.HistoryLost h -> StoreTime.UNKNOWN;
        };
    }

    private <T> CompletionStage<T> monitor(
            Supplier<CompletionStage<T>> call, Function<T, StoreTime> time) {
        long sentAt = nowMillis();
        return call.get()
                .whenComplete(
                        (value, fault) -> {
                            if (fault == null) {
                                recordTime(time.apply(value), sentAt);
                            }
                            recordResult(fault);
                        });
    }

    private void recordTime(StoreTime time, long sentAt) {
        StoreClock.Stamp stamp =
                new StoreClock.Stamp(time.millis(), time.version(), sentAt, nowMillis());
        if (clock.isContradictedBy(stamp)) {
            logChange(clock.contradictionMillis(stamp), stamp);
        }
        clock = clock.after(stamp);
    }

    private void logChange(long aheadMillis, StoreClock.Stamp stamp) {
        if (stamp.arrivedAt() >= nextChangeLogAt) {
            nextChangeLogAt = stamp.arrivedAt() + CHANGE_LOG_INTERVAL.toMillis();
            EventLog.log(
                    TaskEvent.STORE_CLOCK_CHANGED,
                    Field.of("aheadMillis", aheadMillis),
                    Field.of("storeMillis", stamp.storeMillis()),
                    Field.of("version", stamp.version()));
        }
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }

    private void recordResult(Throwable fault) {
        if (fault == null) {
            onAnswer();
            return;
        }
        lastFailure = Optional.of(String.valueOf(fault.getMessage()));
        if (!unresponsive) {
            unresponsive = true;
            unresponsiveSince = nowMillis();
            EventLog.log(TaskEvent.STORE_UNAVAILABLE, Field.of("why", fault.getMessage()));
            probe();
        }
    }

    private void onAnswer() {
        lastFailure = Optional.empty();
        if (unresponsive) {
            unresponsive = false;
            EventLog.log(TaskEvent.STORE_AVAILABLE);
        }
    }

    private void probe() {
        if (unresponsive) {
            delegate.scan(StoreLayout.HOLDER_TABLE, StoreLayout.HOLDER_PARTITION, KeyRange.ALL)
                    .whenComplete(
                            (page, fault) -> {
                                if (fault == null) {
                                    onAnswer();
                                } else {
                                    scheduler.schedule(PROBE_INTERVAL, this::probe);
                                }
                            });
        }
    }
}
