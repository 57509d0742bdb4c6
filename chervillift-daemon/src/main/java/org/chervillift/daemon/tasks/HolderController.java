package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.core.tasks.HolderHealth;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.Order;
import org.chervillift.core.tasks.SchedulerSettings;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.daemon.tasks.StoreLayout.HeldWorkers;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Controls the fleet during one term in which this process holds the lease.
 *
 * <p>Keeps all jobs and workers on a board, schedules tasks, and sends orders to workers and VMs.
 */
final class HolderController {

    private static final Duration PLAN_DELAY = Duration.ofMillis(3);
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Long poll for job changes; while no job arrives, the board's age is refreshed this often. */
    private static final Duration JOBS_FOLLOW_WAIT = Duration.ofMillis(400);

    private static final long MAX_RESTORED_WAIT_MILLIS = 60_000;
    private static final String PLAN_LOOP = "planning";
    private static final String READING = "reading at the start";

    private final HolderContext context;
    private final ManifestTracker manifests;
    private final TaskScheduler board;
    private final ProgressWriter progress;
    private final FinishedJobRemover finishedJobs;
    private final AdviceRequester advice;
    private final VmController vmController;
    private final HolderStatusPublisher statusPublisher;
    private final StandstillPublisher standstills;
    private final TableFollower jobsFollower;
    private final WorkerSessions workerSessions;
    private final StartCondition condition;
    private final StoredProgress storedProgress;
    private final Runnable manifestListener = this::onManifestChange;
    private final Deque<Runnable> deferredActions = new ArrayDeque<>();
    private boolean predecessorWorkersRead;
    private boolean progressRead;
    private boolean partsRead;
    private int jobRowCount;
    private long workersVersion;
    private long startedAt;
    private long lastPlanMillis;
    private boolean planScheduled;
    private boolean ready;
    private boolean stopped;

    HolderController(HolderContext context, ManifestTracker manifests, Manifest manifest) {
        this.context = Checks.notNull("context", context);
        this.manifests = Checks.notNull("manifests", manifests);
        FleetSettings settings = context.settings();
        SchedulerSettings boardSettings =
                new SchedulerSettings(
                        context.term(),
                        settings.predecessorLeaseMillis(),
                        settings.workerStopTimeout().toMillis(),
                        settings.moveTime().toMillis(),
                        settings.remoteFactor());
        this.board =
                new TaskScheduler(
                        boardSettings,
                        manifest,
                        new DecisionLog(context.metrics()),
                        context.nowMillis());
        board.evacuation().replace(manifests.evacuatedDataCentres());
        this.progress = new ProgressWriter(context, board, this::onStored, this::onEndStored);
        this.storedProgress = new StoredProgress(progress);
        this.finishedJobs = new FinishedJobRemover(context, board, progress);
        this.advice = new AdviceRequester(context, board.advice(), this::replanSoon);
        this.vmController = new VmController(context, board, manifests, this::askWorker);
        this.statusPublisher =
                new HolderStatusPublisher(context, this::currentBoard, vmController.figures());
        this.jobsFollower =
                new TableFollower(
                        context.store(),
                        StoreLayout.JOBS_TABLE,
                        StoreLayout.JOB_PARTITIONS,
                        JOBS_FOLLOW_WAIT,
                        context.supervision(),
                        context.storeClock(),
                        new JobsListener(),
                        this::onJobsProgress);
        this.workerSessions = new WorkerSessions(context, board, this::replanSoon);
        this.condition =
                new StartCondition(
                        context,
                        jobsFollower::completeUntil,
                        workerSessions::completeUntil,
                        () -> ready);
        this.standstills = new StandstillPublisher(context, board, condition);
    }

    long term() {
        return context.term();
    }

    /** Returns the board, or empty until all stored jobs have been loaded. */
    Optional<HolderBoard> board() {
        return ready ? Optional.of(currentBoard()) : Optional.empty();
    }

    private void askWorker(String id) {
        workerSessions.ask(id);
    }

    private HolderBoard currentBoard() {
        AnswerBasis.Board basis =
                new AnswerBasis.Board(
                        term(),
                        context.nowMillis() - jobsFollower.completeUntil(),
                        context.leaseAgeMillis());
        return new HolderBoard(board, jobsFollower.completeUntil(), basis);
    }

    /** Returns the part of the holder that must go on and has not for too long, if any. */
    Optional<HolderHealth.Silence> silence() {
        return context.health().check(context.nowMillis());
    }

    void start() {
        startedAt = context.nowMillis();
        context.recordProgress(READING);
        standstills.start();
        manifests.addChangeListener(manifestListener);
        readPredecessorState();
        vmController.loadOrders(this::onReadDone);
        jobsFollower.start();
        workerSessions.start();
        vmController.load();
    }

    void stop() {
        stopped = true;
        manifests.removeChangeListener(manifestListener);
        List<Runnable> stops =
                List.of(
                        progress::stop,
                        finishedJobs::stop,
                        vmController::stop,
                        statusPublisher::stop,
                        standstills::stop,
                        advice::stop,
                        jobsFollower::stop,
                        workerSessions::stop);
        stops.forEach(s -> context.supervision().run("stop of the holder", s));
    }

    /** Sets the metrics that change with time. */
    void updateAges() {
        standstills.updateAges();
    }

    private void onStored() {
        condition.recordStored();
        replanSoon();
    }

    private void onEndStored(String jobId) {
        finishedJobs.onEndStored(jobId);
    }

    private void onManifestChange() {
        manifests.manifest().ifPresent(board::configure);
        board.evacuation().replace(manifests.evacuatedDataCentres());
        replanSoon();
    }

    /**
     * Reads the workers that earlier holders may have used, and the stored progress of the jobs.
     */
    private void readPredecessorState() {
        readWithRetry(
                () -> context.fencedStore().scan(StoreLayout.WORKERS_KEY.table(), KeyRange.ALL),
                page -> {
                    page.rows().forEach(statusPublisher::restore);
                    page.rows().stream()
                            .filter(r -> r.key().equals(StoreLayout.WORKERS_KEY))
                            .forEach(this::addPredecessorWorkers);
                    predecessorWorkersRead = true;
                    onReadDone();
                });
        readTable(
                StoreLayout.PROGRESS_TABLE,
                KeyRange.ALL,
                storedProgress::addRow,
                this::onProgressRead);
    }

    /** Reads the parts of large jobs, if there are such jobs. */
    private void onProgressRead() {
        progressRead = true;
        partsRead = !storedProgress.hasJobsInParts();
        if (!partsRead) {
            readTable(
                    StoreLayout.PARTS_TABLE,
                    KeyRange.ALL,
                    storedProgress::addPart,
                    () -> partsRead = true);
        }
    }

    /** Deletes the parts that earlier holders left, if no job needs any. */
    private void deleteLeftParts() {
        if (!storedProgress.arePartsRead()) {
            readTable(
                    StoreLayout.PARTS_TABLE,
                    KeyRange.ALL,
                    r -> storedProgress.deleteLeftPart(r, term()),
                    () -> {});
        }
    }

    private void addPredecessorWorkers(Row row) {
        workersVersion = row.version();
        Json.decode(row.value(), HeldWorkers.class)
                .workers()
                .forEach(w -> board.addPredecessorWorker(w.id(), w.pool()));
    }

    /** Applies the jobs once both reads are done, since these tell which tasks may be running. */
    private void onReadDone() {
        if (isPredecessorRead()) {
            runDeferredActions();
            workerSessions.onPredecessorRead(workersVersion);
        }
    }

    private boolean isPredecessorRead() {
        return predecessorWorkersRead
                && progressRead
                && partsRead
                && vmController.areOrdersLoaded();
    }

    private void runOnceRead(Runnable task) {
        deferredActions.add(task);
        if (isPredecessorRead()) {
            runDeferredActions();
        }
    }

    /** Applies all job rows read so far, before callers are answered or orders sent by them. */
    private void runDeferredActions() {
        while (!deferredActions.isEmpty()) {
            deferredActions.removeFirst().run();
        }
        if (!ready && jobsFollower.isLoaded()) {
            becomeReady();
        }
        replanSoon();
    }

    /** Reads a table page by page. */
    private void readTable(String table, KeyRange range, Consumer<Row> onRow, Runnable onLastRow) {
        readWithRetry(
                () -> context.fencedStore().scan(table, range),
                page -> {
                    page.rows().forEach(onRow);
                    if (page.hasMore() && !page.rows().isEmpty()) {
                        String last = page.rows().get(page.rows().size() - 1).key().key();
                        onReadingProgress();
                        readTable(table, KeyRange.after(last), onRow, onLastRow);
                    } else {
                        onLastRow.run();
                        onReadDone();
                    }
                });
    }

    private <T> void readWithRetry(Supplier<CompletionStage<T>> call, Consumer<T> then) {
        RetryingRead.start(
                context.supervision(),
                () -> stopped,
                () -> call.get().whenComplete((value, fault) -> onReadAnswered(fault)),
                then);
    }

    /** A store that fails is no fault of the holder; an answer says nothing until it is used. */
    private void onReadAnswered(Throwable fault) {
        if (fault != null) {
            onReadingProgress();
        }
    }

    private void onReadingProgress() {
        if (!ready) {
            context.recordProgress(READING);
        }
    }

    private void onJobsProgress() {
        context.recordProgress("jobs");
        if (!jobsFollower.isLoaded()) {
            onReadingProgress();
        }
    }

    /** Applies the rows of the jobs table to the board. */
    private final class JobsListener implements TableFollower.Listener {

        @Override
        public void loaded(List<Row> rows) {
            runOnceRead(() -> acceptAll(rows));
        }

        @Override
        public void changed(List<Change> changes) {
            runOnceRead(() -> applyChanges(changes));
        }

        private void acceptAll(List<Row> rows) {
            for (Row row : rows) {
                if (!StoreLayout.isCancellation(row.key())) {
                    boolean knownToPredecessor = !ready;
                    applyRow(
                            row.key(),
                            () -> accept(row.key().key(), row.value(), knownToPredecessor));
                }
            }
            rows.stream()
                    .filter(r -> StoreLayout.isCancellation(r.key()))
                    .map(Row::key)
                    .forEach(k -> applyRow(k, () -> cancel(k)));
            jobRowCount = rows.size();
        }

        private void applyChanges(List<Change> changes) {
            changes.forEach(c -> applyRow(c.key(), () -> applyChange(c)));
        }

        /** Applies one row; a row whose job cannot be taken in does not keep the others out. */
        private void applyRow(RowKey key, Runnable row) {
            if (!context.supervision().run("job row", row)) {
                EventLog.log(
                        TaskEvent.ROW_UNREADABLE,
                        Field.of("key", key.key()),
                        Field.of("why", "its job could not be taken in"));
            }
        }

        private void cancel(RowKey key) {
            board.cancel(StoreLayout.jobIdOf(key), context.nowMillis());
        }

        private void applyChange(Change change) {
            String id = StoreLayout.jobIdOf(change.key());
            if (StoreLayout.isCancellation(change.key())) {
                change.value().ifPresent(v -> cancel(change.key()));
            } else if (change.value().isPresent()) {
                accept(id, change.value().get(), false);
            } else {
                board.forget(id);
            }
        }

        private void accept(String id, String value, boolean knownToPredecessor) {
            Optional<JobProgress> stored = storedProgress.take(id);
            Optional<JobProgress> ended = stored.filter(p -> p.state().isFinal());
            if (finishedJobs.wasRemoved(id) || storedProgress.isUnreadable(id)) {
                return;
            }
            if (ended.isPresent()) {
                finishedJobs.onEndStored(id);
                board.acceptEnded(id, ended.get().status(), () -> decode(id, value));
            } else {
                decode(id, value).ifPresent(job -> accept(job, stored, knownToPredecessor));
            }
        }

        private void accept(
                AcceptedJob job, Optional<JobProgress> stored, boolean knownToPredecessor) {
            long waitedMillis =
                    knownToPredecessor
                            ? Math.clamp(
                                    System.currentTimeMillis() - job.acceptedAtMillis(),
                                    0,
                                    MAX_RESTORED_WAIT_MILLIS)
                            : 0;
            board.accept(job, waitedMillis, context.nowMillis());
            stored.ifPresent(p -> restore(job.id(), p));
        }

        /** Restores progress; a job whose progress does not fit it is left alone. */
        private void restore(String id, JobProgress stored) {
            try {
                board.restore(id, stored);
            } catch (RuntimeException e) {
                board.discard(id);
                storedProgress.markUnreadable(id, id, e);
            }
        }

        private Optional<AcceptedJob> decode(String id, String value) {
            try {
                return Optional.of(Json.decode(value, AcceptedJob.class));
            } catch (RuntimeException e) {
                StoredProgress.logUnreadable(id, e);
                return Optional.empty();
            }
        }
    }

    private void becomeReady() {
        ready = true;
        context.health().forget(READING);
        EventLog.log(
                TaskEvent.HOLDER_READY,
                Field.of("term", term()),
                Field.of("rows", jobRowCount),
                Field.of("readMillis", context.nowMillis() - startedAt));
        workerSessions.onJobsLoaded();
        vmController.start();
        removeProgressWithoutJob();
        finishedJobs.start();
        context.recordProgress(PLAN_LOOP);
        context.supervision().repeat(PLAN_LOOP, TICK_INTERVAL, () -> stopped, this::plan);
        statusPublisher.start();
    }

    /** Removes the progress of jobs whose rows a predecessor had deleted when it was lost. */
    private void removeProgressWithoutJob() {
        storedProgress.removeWithoutJob().forEach(finishedJobs::onEndStored);
        deleteLeftParts();
    }

    /** Schedules a planning run after a change, unless one is scheduled. */
    private void replanSoon() {
        if (!planScheduled && !stopped && ready) {
            planScheduled = true;
            // As long as the last plan took at least, so that answers are read in between.
            Duration delay = Duration.ofMillis(Math.max(PLAN_DELAY.toMillis(), lastPlanMillis));
            context.scheduler()
                    .schedule(delay, () -> context.supervision().run(PLAN_LOOP, this::plan));
        }
    }

    private void plan() {
        planScheduled = false;
        if (stopped || !ready) {
            return;
        }
        if (!context.maySendOrders().getAsBoolean()) {
            progress.scheduleWrite();
            context.recordProgress(PLAN_LOOP);
            return;
        }
        vmController.cordonOrderedByPredecessor();
        // A failure of one part keeps neither starts, stored progress nor new workers from it.
        context.supervision().run("advice", advice::askNext);
        boolean planned = context.supervision().run(PLAN_LOOP, this::sendOrders);
        progress.scheduleWrite();
        workerSessions.openSessions();
        if (planned) {
            context.recordProgress(PLAN_LOOP);
        }
    }

    private void sendOrders() {
        long now = context.nowMillis();
        planOrders(now, System.currentTimeMillis()).forEach(workerSessions::send);
        board.startGate().workersToAsk().forEach(this::askWorker);
        lastPlanMillis = context.nowMillis() - now;
    }

    /**
     * Plans orders; starts no task while cancellations of jobs, notices of workers that drain or
     * shrink, or evacuations may not have reached this process.
     */
    private List<Order> planOrders(long now, long wallMillis) {
        return condition.checkCopies()
                ? board.plan(now, wallMillis)
                : board.planWithoutStarts(now, wallMillis);
    }
}
