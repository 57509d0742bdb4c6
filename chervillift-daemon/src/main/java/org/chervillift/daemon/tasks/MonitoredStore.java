package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.ToLongFunction;
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

    private final RowStore delegate;
    private final Scheduler scheduler;
    private StoreClock clock = StoreClock.UNKNOWN;
    private boolean unresponsive;

    MonitoredStore(RowStore delegate, Scheduler scheduler) {
        this.delegate = Checks.notNull("delegate", delegate);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Returns whether the last call failed. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Returns the best estimate of the store's clock from its answers. */
    StoreClock clock() {
        return clock;
    }

    @Override
    public CompletionStage<Page> scan(String table, String partition, KeyRange range, int maxRows) {
        return monitor(delegate.scan(table, partition, range, maxRows), Page::storeMillis);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String partition, List<Condition> conditions, List<Write> writes) {
        return monitor(
                delegate.commit(partition, conditions, writes), MonitoredStore::storeMillisOf);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return monitor(delegate.follow(table, afterVersion, wait), MonitoredStore::storeMillisOf);
    }

    private static long storeMillisOf(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Committed c -> c.storeMillis();
            case Outcome.Conflict c -> 0;
        };
    }

    private static long storeMillisOf(Changes changes) {
        return switch (changes) {
            case Changes.Next n -> n.storeMillis();
            case Changes.HistoryLost h -> 0;
        };
    }

    private <T> CompletionStage<T> monitor(CompletionStage<T> call, ToLongFunction<T> storeMillis) {
        return call.whenComplete(
                (value, fault) -> {
                    if (fault == null) {
                        long now = scheduler.now().toEpochMilli();
                        clock =
                                clock.moreAccurateOf(
                                        new StoreClock(storeMillis.applyAsLong(value), now));
                    }
                    recordResult(fault);
                });
    }

    private void recordResult(Throwable fault) {
        if (fault == null) {
            onAnswer();
        } else if (!unresponsive) {
            unresponsive = true;
            EventLog.log(TaskEvent.STORE_UNAVAILABLE, Field.of("why", fault.getMessage()));
            probe();
        }
    }

    private void onAnswer() {
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
