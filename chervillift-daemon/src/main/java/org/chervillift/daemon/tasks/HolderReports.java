package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Tells other processes and operators what the holder knows of the queues and the pools. */
final class HolderReports {

    private static final Duration LOADS_EVERY = Duration.ofMillis(1_000);

    /** Counts may be 2 s old, with the time to write and to read them on a slow store. */
    private static final Duration PENDING_EVERY = Duration.ofMillis(500);

    private final HolderContext context;
    private final TaskScheduler board;
    private final Supplier<HeldBoard> held;
    private boolean stopped;

    /**
     * Creates the reports of a holder.
     *
     * @param held the board with its age
     */
    HolderReports(HolderContext context, TaskScheduler board, Supplier<HeldBoard> held) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.held = Checks.notNull("held", held);
    }

    /** Begins to report; all jobs are on the board. */
    void start() {
        reportLoads();
        publishPending();
    }

    void stop() {
        stopped = true;
        context.metrics().holderStopped();
    }

    private void reportLoads() {
        if (stopped) {
            return;
        }
        board.poolLoads(context.now()).forEach(this::reportLoad);
        context.metrics().pending(board.pendingByQueue());
        context.scheduler().schedule(LOADS_EVERY, this::reportLoads);
    }

    private void reportLoad(String pool, PoolLoad load) {
        context.metrics().load(pool, load);
        EventLog.log(
                TaskEvent.POOL_LOAD,
                Field.of("pool", pool),
                Field.of("running", load.runningMilliCores()),
                Field.of("waiting", load.waitingMilliCores()),
                Field.of("capacity", load.capacityMilliCores()));
    }

    /** Writes how many jobs of each queue wait, also when nothing changed. */
    private void publishPending() {
        if (stopped) {
            return;
        }
        Write write = Write.put(JobRows.PENDING, Json.encode(held.get().pending()));
        context.own()
                .commit(write)
                .whenComplete(
                        (outcome, fault) ->
                                context.scheduler().schedule(PENDING_EVERY, this::publishPending));
    }
}
