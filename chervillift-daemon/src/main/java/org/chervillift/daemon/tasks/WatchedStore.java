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
 * A store of which it is known whether it answers.
 *
 * <p>Answers a cut between this process and the store: requests are refused at once rather than
 * each waiting for a timeout. While calls fail, a small read asks whether the store is back.
 */
final class WatchedStore implements RowStore {

    private static final Duration PROBE_PAUSE = Duration.ofMillis(200);

    private final RowStore store;
    private final Scheduler scheduler;
    private StoreClock clock = StoreClock.UNKNOWN;
    private boolean silent;

    WatchedStore(RowStore store, Scheduler scheduler) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Returns whether the last call failed. */
    boolean isSilent() {
        return silent;
    }

    /** Returns what the store's answers told of its clock. */
    StoreClock clock() {
        return clock;
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return watch(store.scan(table, part, range, most), Page::storeMillis);
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return watch(store.commit(part, conditions, writes), WatchedStore::timeOf);
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return watch(store.follow(table, afterVersion, wait), WatchedStore::timeOf);
    }

    private static long timeOf(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Committed c -> c.storeMillis();
            case Outcome.Conflict c -> 0;
        };
    }

    private static long timeOf(Changes changes) {
        return switch (changes) {
            case Changes.Next n -> n.storeMillis();
            case Changes.HistoryLost h -> 0;
        };
    }

    private <T> CompletionStage<T> watch(CompletionStage<T> call, ToLongFunction<T> storeTime) {
        return call.whenComplete(
                (value, fault) -> {
                    if (fault == null) {
                        long now = scheduler.now().toEpochMilli();
                        clock = clock.orBetter(new StoreClock(storeTime.applyAsLong(value), now));
                    }
                    note(fault);
                });
    }

    private void note(Throwable fault) {
        if (fault == null) {
            answered();
        } else if (!silent) {
            silent = true;
            EventLog.log(TaskEvent.STORE_LOST, Field.of("why", fault.getMessage()));
            probe();
        }
    }

    private void answered() {
        if (silent) {
            silent = false;
            EventLog.log(TaskEvent.STORE_FOUND);
        }
    }

    private void probe() {
        if (silent) {
            store.scan(JobRows.HOLDER, JobRows.HOLDER_PART, KeyRange.ALL)
                    .whenComplete(
                            (page, fault) -> {
                                if (fault == null) {
                                    answered();
                                } else {
                                    scheduler.schedule(PROBE_PAUSE, this::probe);
                                }
                            });
        }
    }
}
