package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;
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
    private boolean silent;

    WatchedStore(RowStore store, Scheduler scheduler) {
        this.store = Checks.notNull("store", store);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    /** Returns whether the last call failed. */
    boolean isSilent() {
        return silent;
    }

    @Override
    public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
        return watch(store.scan(table, part, range, most));
    }

    @Override
    public CompletionStage<Outcome> commit(
            String part, List<Condition> conditions, List<Write> writes) {
        return watch(store.commit(part, conditions, writes));
    }

    @Override
    public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
        return watch(store.follow(table, afterVersion, wait));
    }

    private <T> CompletionStage<T> watch(CompletionStage<T> call) {
        return call.whenComplete((value, fault) -> note(fault));
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
