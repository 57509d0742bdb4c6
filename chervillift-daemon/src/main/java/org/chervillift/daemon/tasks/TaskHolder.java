package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.KeyRange;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.JobProgress;
import org.chervillift.core.tasks.Order;
import org.chervillift.core.tasks.SchedulerEvent;
import org.chervillift.core.tasks.SchedulerSettings;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.daemon.tasks.JobRows.HeldWorker;
import org.chervillift.daemon.tasks.JobRows.HeldWorkers;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** The work of the fleet's holder for one term: knows all jobs and workers, and gives orders. */
final class TaskHolder {

    private static final Duration PLAN_DELAY = Duration.ofMillis(3);
    private static final Duration TICK = Duration.ofMillis(100);

    /** While no job comes the board is known to be whole at least this often. */
    private static final Duration JOBS_WAIT = Duration.ofMillis(400);

    private static final Duration RETRY = Duration.ofMillis(200);
    private static final long LONGEST_RESTORED_WAIT_MILLIS = 60_000;

    private final HolderContext context;
    private final ManifestKeeper manifests;
    private final TaskScheduler board;
    private final ProgressWriter progress;
    private final AdviceAsker advice;
    private final VmOperator vms;
    private final HolderReports reports;
    private final TableFollower jobs;
    private final TableFollower workers;
    private final Map<String, WorkerLink> links = new HashMap<>();
    private final Map<String, JobProgress> restored = new HashMap<>();
    private final Runnable onManifest = this::manifestChanged;
    private Map<String, String> storedWorkers = Map.of();
    private final List<Runnable> untilRead = new ArrayList<>();
    private int openReads = 2;
    private int rowsRead;
    private long startedAt;
    private boolean storingWorkers;
    private boolean planScheduled;
    private boolean startsTasks = true;
    private boolean ready;
    private boolean stopped;

    TaskHolder(HolderContext context, ManifestKeeper manifests, Manifest manifest) {
        this.context = Checks.notNull("context", context);
        this.manifests = Checks.notNull("manifests", manifests);
        FleetSettings settings = context.settings();
        SchedulerSettings times =
                new SchedulerSettings(
                        context.term(),
                        settings.predecessorLeaseMillis(),
                        settings.stopTimeout().toMillis());
        this.board = new TaskScheduler(times, manifest, this::log, context.now());
        this.progress = new ProgressWriter(context, board, this::replanSoon);
        this.advice = new AdviceAsker(context, board, this::replanSoon);
        this.vms = new VmOperator(context, board, manifests);
        this.reports = new HolderReports(context, board, this::heldBoard);
        this.jobs =
                new TableFollower(
                        context.store(),
                        JobRows.JOBS,
                        JobRows.JOB_PARTS,
                        JOBS_WAIT,
                        context.scheduler(),
                        new Jobs());
        this.workers =
                new TableFollower(
                        context.store(),
                        context.rows().workerTable(),
                        List.of(RowStore.COMMON_PART),
                        TableFollower.USUAL_WAIT,
                        context.scheduler(),
                        new Workers());
    }

    long term() {
        return context.term();
    }

    /** Returns the board once all jobs are on it. */
    Optional<HeldBoard> board() {
        return ready ? Optional.of(heldBoard()) : Optional.empty();
    }

    private HeldBoard heldBoard() {
        Basis.Board basis =
                new Basis.Board(term(), copyAgeMillis(context.now()), context.leaseAgeMillis());
        return new HeldBoard(board, jobs.asOfStoreMillis(), basis);
    }

    /** Returns how long ago all jobs and withdrawals were known here, in milliseconds. */
    private long copyAgeMillis(long now) {
        return context.storeClock().get().at(now) - jobs.asOfStoreMillis();
    }

    void start() {
        startedAt = context.now();
        manifests.onChange(onManifest);
        readPredecessor();
        jobs.start();
        workers.start();
        vms.load();
    }

    void stop() {
        stopped = true;
        manifests.removeOnChange(onManifest);
        progress.stop();
        vms.stop();
        reports.stop();
        advice.stop();
        jobs.stop();
        workers.stop();
        links.values().forEach(WorkerLink::stop);
    }

    private void manifestChanged() {
        manifests.manifest().ifPresent(board::configure);
        replanSoon();
    }

    private void log(SchedulerEvent note) {
        context.metrics().decided(note.kind());
        TaskEvent event =
                switch (note.kind()) {
                    case FINAL -> TaskEvent.JOB_OVER;
                    case LIFETIME, LEASE_OVER -> TaskEvent.WORKER_CHANGED;
                    default -> TaskEvent.TASK_DECISION;
                };
        EventLog.log(
                event,
                Field.of("decision", note.kind()),
                Field.of("job", note.job()),
                Field.of("task", note.task()),
                Field.of("worker", note.worker()),
                Field.of("inputs", note.detail()));
    }

    /** Reads which workers an earlier holder may have given work, and how far the jobs are. */
    private void readPredecessor() {
        retrying(
                () -> context.own().scan(JobRows.WORKERS.table(), KeyRange.ALL),
                page -> {
                    page.rows().stream()
                            .filter(r -> r.key().equals(JobRows.WORKERS))
                            .forEach(
                                    r -> {
                                        progress.known(r);
                                        Json.decode(r.value(), HeldWorkers.class)
                                                .workers()
                                                .forEach(
                                                        w ->
                                                                board.addPredecessorWorker(
                                                                        w.id(), w.pool()));
                                    });
                    readDone();
                });
        readProgress(KeyRange.ALL);
    }

    /** Takes the jobs once both reads are done, since they say what may be running. */
    private void readDone() {
        openReads--;
        if (openReads == 0) {
            takeRead();
            storeWorkers();
        }
    }

    private void onceRead(Runnable task) {
        untilRead.add(task);
        if (openReads == 0) {
            takeRead();
        }
    }

    /** Takes all that was read of the jobs before anything is told or ordered by it. */
    private void takeRead() {
        untilRead.forEach(Runnable::run);
        untilRead.clear();
        if (!ready && jobs.isLoaded()) {
            becomeReady();
        }
        replanSoon();
    }

    private void readProgress(KeyRange range) {
        retrying(
                () -> context.own().scan(JobRows.PROGRESS, range),
                page -> {
                    for (Row row : page.rows()) {
                        progress.known(row);
                        restored.put(row.key().key(), Json.decode(row.value(), JobProgress.class));
                    }
                    if (page.hasMore() && !page.rows().isEmpty()) {
                        String last = page.rows().get(page.rows().size() - 1).key().key();
                        readProgress(KeyRange.after(last));
                    } else {
                        readDone();
                    }
                });
    }

    private <T> void retrying(Supplier<CompletionStage<T>> call, Consumer<T> then) {
        FirstRead.until(context.scheduler(), () -> stopped, call, then);
    }

    /** Takes the table of jobs. */
    private final class Jobs implements TableFollower.Listener {

        @Override
        public void loaded(List<Row> rows) {
            onceRead(() -> takeAll(rows));
        }

        @Override
        public void changed(List<Change> changes) {
            onceRead(() -> take(changes));
        }

        private void takeAll(List<Row> rows) {
            for (Row row : rows) {
                if (!JobRows.isCancel(row.key())) {
                    accept(row.key().key(), row.value(), !ready);
                }
            }
            rows.stream()
                    .filter(r -> JobRows.isCancel(r.key()))
                    .forEach(r -> board.cancel(JobRows.jobOf(r.key()), context.now()));
            rowsRead = rows.size();
        }

        private void take(List<Change> changes) {
            for (Change change : changes) {
                String id = JobRows.jobOf(change.key());
                if (JobRows.isCancel(change.key())) {
                    change.value().ifPresent(v -> board.cancel(id, context.now()));
                } else if (change.value().isPresent()) {
                    accept(id, change.value().get(), false);
                } else {
                    board.forget(id);
                }
            }
        }

        private void accept(String id, String value, boolean predecessorKnewIt) {
            Optional<JobProgress> stored = Optional.ofNullable(restored.remove(id));
            Optional<JobState> state = stored.map(JobProgress::state).filter(JobState::isFinal);
            if (state.isPresent()) {
                board.acceptEnded(id, state.get(), () -> decode(id, value));
            } else {
                decode(id, value).ifPresent(job -> accept(job, stored, predecessorKnewIt));
            }
        }

        private void accept(
                AcceptedJob job, Optional<JobProgress> stored, boolean predecessorKnewIt) {
            long waited =
                    predecessorKnewIt
                            ? Math.clamp(
                                    System.currentTimeMillis() - job.acceptedAtMillis(),
                                    0,
                                    LONGEST_RESTORED_WAIT_MILLIS)
                            : 0;
            board.accept(job, waited, context.now());
            stored.ifPresent(p -> board.restore(job.id(), p));
        }

        private Optional<AcceptedJob> decode(String id, String value) {
            try {
                return Optional.of(Json.decode(value, AcceptedJob.class));
            } catch (RuntimeException e) {
                EventLog.log(
                        TaskEvent.ROW_UNREADABLE,
                        Field.of("key", id),
                        Field.of("why", e.getMessage()));
                return Optional.empty();
            }
        }
    }

    private void becomeReady() {
        ready = true;
        EventLog.log(
                TaskEvent.HOLDER_READY,
                Field.of("term", term()),
                Field.of("rows", rowsRead),
                Field.of("readMillis", context.now() - startedAt));
        openLinks();
        vms.start();
        tick();
        reports.start();
    }

    /** Takes the table of workers. */
    private final class Workers implements TableFollower.Listener {

        @Override
        public void loaded(List<Row> rows) {
            Map<String, WorkerEntry> listed = new TreeMap<>();
            for (Row row : rows) {
                context.rows()
                        .worker(row.key().key(), row.value())
                        .ifPresent(w -> listed.put(w.id(), w));
            }
            List.copyOf(links.keySet()).stream()
                    .filter(id -> !listed.containsKey(id))
                    .forEach(TaskHolder.this::workerGone);
            listed.values().forEach(TaskHolder.this::workerListed);
            storeWorkers();
        }

        @Override
        public void changed(List<Change> changes) {
            for (Change change : changes) {
                String id = change.key().key();
                Optional<WorkerEntry> entry =
                        change.value().flatMap(v -> context.rows().worker(id, v));
                if (entry.isPresent()) {
                    workerListed(entry.get());
                } else {
                    workerGone(id);
                }
            }
            storeWorkers();
            replanSoon();
        }
    }

    private void workerListed(WorkerEntry entry) {
        board.workerListed(entry);
        WorkerLink link = links.get(entry.id());
        if (link != null) {
            link.update(entry);
        }
    }

    private void workerGone(String id) {
        board.workerUnlisted(id);
    }

    /** Stores which workers may have work before the first order goes to a new one. */
    private void storeWorkers() {
        Map<String, String> inUse = board.workersInUse();
        if (storingWorkers || stopped || openReads > 0) {
            return;
        }
        if (inUse.equals(storedWorkers)) {
            openLinks();
            return;
        }
        storingWorkers = true;
        List<HeldWorker> list =
                new TreeMap<>(inUse)
                        .entrySet().stream()
                                .map(e -> new HeldWorker(e.getKey(), e.getValue()))
                                .toList();
        Write write = Write.put(JobRows.WORKERS, Json.encode(new HeldWorkers(term(), list)));
        context.own()
                .commit(write)
                .whenComplete(
                        (outcome, fault) -> {
                            storingWorkers = false;
                            boolean stored = fault == null && outcome instanceof Outcome.Committed;
                            if (stored) {
                                storedWorkers = inUse;
                                storeWorkers();
                            } else if (!stopped) {
                                context.scheduler().schedule(RETRY, this::storeWorkers);
                            }
                        });
    }

    /** Opens the links to the workers; what these run says something once the jobs are known. */
    private void openLinks() {
        if (!ready) {
            return;
        }
        for (WorkerEntry entry : board.listedWorkers()) {
            if (storedWorkers.containsKey(entry.id()) && !links.containsKey(entry.id())) {
                WorkerLink link =
                        new WorkerLink(context, board, entry, this::replanSoon, this::fenced);
                links.put(entry.id(), link);
                link.start();
            }
        }
        List.copyOf(links.keySet()).stream()
                .filter(id -> !board.knowsWorker(id))
                .forEach(id -> links.remove(id).stop());
    }

    private void fenced() {
        EventLog.log(TaskEvent.HOLDER_LOST, Field.of("why", "a worker obeys a newer holder"));
    }

    private void tick() {
        if (stopped) {
            return;
        }
        plan();
        context.scheduler().schedule(TICK, this::tick);
    }

    /** Plans soon, as something has changed. */
    private void replanSoon() {
        if (!planScheduled && !stopped && ready) {
            planScheduled = true;
            context.scheduler().schedule(PLAN_DELAY, this::plan);
        }
    }

    private void plan() {
        planScheduled = false;
        if (stopped || !ready) {
            return;
        }
        if (!context.maySendOrders().getAsBoolean()) {
            progress.poke();
            return;
        }
        advice.poke();
        for (Order order : decide(context.now(), System.currentTimeMillis())) {
            WorkerLink link = links.get(order.worker());
            if (link != null) {
                link.send(order);
            }
        }
        progress.poke();
        openLinks();
    }

    /** Starts nothing while callers may have withdrawn jobs without this being known here. */
    private List<Order> decide(long now, long wallMillis) {
        boolean isCurrent = copyAgeMillis(now) <= context.settings().mostCopyAgeMillis();
        if (isCurrent != startsTasks) {
            startsTasks = isCurrent;
            EventLog.log(
                    isCurrent ? TaskEvent.STARTS_RESUMED : TaskEvent.STARTS_HELD,
                    Field.of("term", term()),
                    Field.of("copyAgeMillis", copyAgeMillis(now)));
        }
        return isCurrent ? board.plan(now, wallMillis) : board.planWithoutStarts(now, wallMillis);
    }
}
