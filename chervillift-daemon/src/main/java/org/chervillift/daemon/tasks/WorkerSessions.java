package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.FleetRows.WorkerRow;
import org.chervillift.api.platform.Row;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.RowStore.Change;
import org.chervillift.api.platform.RowStore.Outcome;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.Order;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.daemon.tasks.StoreLayout.HeldWorker;
import org.chervillift.daemon.tasks.StoreLayout.HeldWorkers;
import org.chervillift.http.Json;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/**
 * Follows the worker registry, and keeps a session with each worker.
 *
 * <p>Which workers may have runs is stored before the first order is sent to a new worker, so that
 * a new holder knows whom to ask.
 */
final class WorkerSessions {

    /** Long poll for changes of workers; while nothing changes, their age is refreshed so often. */
    private static final Duration FOLLOW_WAIT = Duration.ofMillis(1_000);

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onChange;
    private final TableFollower follower;
    private final Map<String, WorkerSession> sessions = new HashMap<>();
    private final Map<String, String> unusableRows = new HashMap<>();
    private Map<String, String> storedWorkers = Map.of();
    private long storedVersion;
    private boolean predecessorKnown;
    private boolean jobsKnown;
    private boolean storing;
    private boolean stopped;

    /**
     * Creates sessions with no worker.
     *
     * @param onChange called after each change of the board
     */
    WorkerSessions(HolderContext context, TaskScheduler board, Runnable onChange) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.onChange = Checks.notNull("onChange", onChange);
        this.follower =
                new TableFollower(
                        context.store(),
                        context.rows().workerTable(),
                        List.of(RowStore.COMMON_PART),
                        FOLLOW_WAIT,
                        context.supervision(),
                        context.storeClock(),
                        new RegistryListener(),
                        () -> context.recordProgress("workers"));
    }

    void start() {
        follower.start();
    }

    void stop() {
        stopped = true;
        follower.stop();
        sessions.values().forEach(WorkerSession::stop);
    }

    /**
     * Allows storing the workers, once those of earlier holders are on the board.
     *
     * @param version the version of the row of these workers; 0 if there is none
     */
    void onPredecessorRead(long version) {
        storedVersion = version;
        predecessorKnown = true;
        storeWorkers();
    }

    /** Opens sessions from now on: reports of workers can be matched once jobs are loaded. */
    void onJobsLoaded() {
        jobsKnown = true;
        openSessions();
    }

    /** Returns up to when all changes of the registry are known, by this process's clock. */
    long completeUntil() {
        return follower.completeUntil();
    }

    /**
     * Sends an order to its worker.
     *
     * <p>Without a session nothing is sent, which the board learns as for an order that failed:
     * otherwise the run would wait for its answer for ever.
     */
    void send(Order order) {
        WorkerSession session = sessions.get(order.worker());
        if (session == null) {
            board.applyAnswer(order, OrderAnswer.NOTHING_DONE, context.nowMillis());
        } else if (!context.supervision().run("worker order", () -> session.send(order))) {
            board.applyAnswer(order, OrderAnswer.UNKNOWN, context.nowMillis());
        }
    }

    /** Asks a worker for a report at once, if there is a session with it. */
    void ask(String id) {
        Optional.ofNullable(sessions.get(id))
                .ifPresent(s -> context.supervision().run("worker status", s::ask));
    }

    /** Applies the rows of the worker registry to the board. */
    private final class RegistryListener implements TableFollower.Listener {

        @Override
        public void loaded(List<Row> rows) {
            Map<String, WorkerEntry> listed = new TreeMap<>();
            for (Row row : rows) {
                read(row.key().key(), row.value()).ifPresent(w -> listed.put(w.id(), w));
            }
            unusableRows
                    .keySet()
                    .retainAll(rows.stream().map(r -> r.key().key()).collect(Collectors.toSet()));
            List.copyOf(sessions.keySet()).stream()
                    .filter(id -> !listed.containsKey(id))
                    .forEach(board::workerUnlisted);
            listed.values().forEach(WorkerSessions.this::onWorkerListed);
            storeWorkers();
        }

        @Override
        public void changed(List<Change> changes) {
            for (Change change : changes) {
                String id = change.key().key();
                Optional<WorkerEntry> entry = change.value().flatMap(v -> read(id, v));
                if (entry.isPresent()) {
                    onWorkerListed(entry.get());
                } else {
                    board.workerUnlisted(id);
                }
                if (change.value().isEmpty()) {
                    unusableRows.remove(id);
                }
            }
            storeWorkers();
            onChange.run();
        }
    }

    /** Reads a row; logs why it names no worker to use, unless that is known. */
    private Optional<WorkerEntry> read(String id, String value) {
        return switch (context.rows().worker(id, value)) {
            case WorkerRow.Usable u -> {
                unusableRows.remove(id);
                yield Optional.of(u.worker());
            }
            case WorkerRow.Unusable u -> {
                if (!u.reason().equals(unusableRows.put(id, u.reason()))) {
                    EventLog.log(
                            TaskEvent.ROW_UNREADABLE,
                            Field.of("table", context.rows().workerTable()),
                            Field.of("key", id),
                            Field.of("why", u.reason()));
                }
                yield Optional.empty();
            }
        };
    }

    private void onWorkerListed(WorkerEntry entry) {
        board.workerListed(entry, context.nowMillis());
        WorkerSession session = sessions.get(entry.id());
        if (session != null) {
            session.update(entry);
        }
    }

    private void storeWorkers() {
        Map<String, String> inUse = board.workersInUse();
        if (storing || stopped || !predecessorKnown) {
            return;
        }
        if (inUse.equals(storedWorkers)) {
            openSessions();
            return;
        }
        Condition unchanged = new Condition(StoreLayout.WORKERS_KEY, storedVersion);
        CompletionStage<Outcome> call =
                context.fencedStore().commit(List.of(unchanged), List.of(workersWrite(inUse)));
        storing = true;
        context.supervision()
                .whenAnswered(
                        "workers in use",
                        call,
                        (outcome, fault) -> {
                            storing = false;
                            onStoreAnswer(inUse, Optional.ofNullable(outcome));
                        },
                        () -> onStoreAnswer(inUse, Optional.empty()));
    }

    /**
     * Retries a write that was not done, or may yet be done. It cannot undo a later one, since each
     * write requires the version of the row that it replaces.
     */
    private void onStoreAnswer(Map<String, String> workers, Optional<Outcome> outcome) {
        if (outcome.isPresent() && outcome.get() instanceof Outcome.Committed c) {
            storedVersion = c.version();
            storedWorkers = workers;
            storeWorkers();
            return;
        }
        if (outcome.isPresent() && outcome.get() instanceof Outcome.Conflict c) {
            storedVersion =
                    c.current().stream()
                            .filter(r -> r.key().equals(StoreLayout.WORKERS_KEY))
                            .mapToLong(Row::version)
                            .findFirst()
                            .orElse(0);
        }
        if (!stopped) {
            context.scheduler().schedule(RETRY_DELAY, this::storeWorkers);
        }
    }

    private Write workersWrite(Map<String, String> poolsByWorker) {
        List<HeldWorker> workers =
                new TreeMap<>(poolsByWorker)
                        .entrySet().stream()
                                .map(e -> new HeldWorker(e.getKey(), e.getValue()))
                                .toList();
        return Write.put(
                StoreLayout.WORKERS_KEY, Json.encode(new HeldWorkers(context.term(), workers)));
    }

    /** Opens sessions with workers that are stored, and closes those with workers that are gone. */
    void openSessions() {
        if (!jobsKnown) {
            return;
        }
        for (WorkerEntry entry : board.listedWorkers()) {
            if (storedWorkers.containsKey(entry.id()) && !sessions.containsKey(entry.id())) {
                context.supervision().run("worker session", () -> openSession(entry));
            }
        }
        List.copyOf(sessions.keySet()).stream()
                .filter(id -> !board.knowsWorker(id))
                .forEach(id -> sessions.remove(id).stop());
        if (sessions.isEmpty()) {
            context.health().forget(WorkerSession.POLLS);
        }
    }

    private void openSession(WorkerEntry entry) {
        WorkerSession session = new WorkerSession(context, board, entry, onChange, this::onFenced);
        if (sessions.isEmpty()) {
            context.recordProgress(WorkerSession.POLLS);
        }
        sessions.put(entry.id(), session);
        session.start();
    }

    private void onFenced() {
        EventLog.log(
                TaskEvent.LEASE_LOST,
                Field.of("why", "a worker has accepted orders of a newer holder"));
    }
}
