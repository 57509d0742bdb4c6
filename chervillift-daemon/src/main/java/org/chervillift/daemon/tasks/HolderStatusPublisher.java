package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.core.tasks.PoolLoad;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.core.tasks.admission.FleetFigures;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Publishes pending job counts to other processes, and pool loads to metrics and the log. */
final class HolderStatusPublisher {

    private static final Duration LOAD_INTERVAL = Duration.ofMillis(1_000);

    /** Counts older than 2 s are not used; this leaves time to write and read on a slow store. */
    private static final Duration PENDING_COUNT_INTERVAL = Duration.ofMillis(500);

    private static final String COUNTS_LOOP = "pending counts";

    private final HolderContext context;
    private final Supplier<HolderBoard> holderBoard;
    private final FigureCollector figures;
    private FleetFigures latestFigures = FleetFigures.UNKNOWN;
    private boolean stopped;

    /**
     * Creates a publisher.
     *
     * @param holderBoard returns the board with its age
     * @param figures collects what decides on submissions
     */
    HolderStatusPublisher(
            HolderContext context, Supplier<HolderBoard> holderBoard, FigureCollector figures) {
        this.context = Checks.notNull("context", context);
        this.holderBoard = Checks.notNull("holderBoard", holderBoard);
        this.figures = Checks.notNull("figures", figures);
    }

    /** Takes over a row of an earlier holder, if it is the one that is published. */
    void restore(Row row) {
        if (row.key().equals(StoreLayout.PENDING_COUNTS_KEY)) {
            figures.restore(row);
        }
    }

    /** Starts publishing; called once all jobs are on the board. */
    void start() {
        context.supervision().repeat("loads", LOAD_INTERVAL, () -> stopped, this::publishLoads);
        publishPendingCounts();
    }

    void stop() {
        stopped = true;
        context.metrics().clearHolderMetrics();
    }

    private void publishLoads() {
        TaskScheduler board = holderBoard.get().board();
        board.poolLoads(context.nowMillis()).forEach(this::publishLoad);
        context.metrics().setPendingJobs(board.pendingByQueue());
        context.metrics().shares().setCustomersBeyondShare(board.customersBeyondShare());
    }

    private void publishLoad(String pool, PoolLoad load) {
        context.metrics().setPoolLoad(pool, load);
        EventLog.log(
                TaskEvent.POOL_LOAD,
                Field.of("pool", pool),
                Field.of("running", load.runningMilliCores()),
                Field.of("waiting", load.waitingMilliCores()),
                Field.of("capacity", load.capacityMilliCores()));
    }

    private void publishPendingCounts() {
        if (!stopped && !context.supervision().run(COUNTS_LOOP, this::writePendingCounts)) {
            publishPendingCountsLater();
        }
    }

    /** Writes the pending job counts, also when they are unchanged, since their age matters. */
    private void writePendingCounts() {
        // A failure of the figures does not keep the counts from callers.
        latestFigures = FleetFigures.UNKNOWN;
        context.supervision().run("figures for submissions", this::collectFigures);
        PendingCounts counts =
                holderBoard.get().pendingCounts(context.storeClock().get(), latestFigures);
        Write write = Write.put(StoreLayout.PENDING_COUNTS_KEY, Json.encode(counts));
        context.supervision()
                .whenAnswered(
                        COUNTS_LOOP,
                        context.fencedStore().commit(write),
                        (outcome, fault) -> publishPendingCountsLater(),
                        () -> {});
    }

    private void collectFigures() {
        latestFigures = figures.collect(context.nowMillis());
    }

    private void publishPendingCountsLater() {
        context.scheduler().schedule(PENDING_COUNT_INTERVAL, this::publishPendingCounts);
    }
}
