package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.platform.WorkerCalls.HoldAnswer;
import org.chervillift.api.platform.WorkerCalls.StartCall;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.core.tasks.Order;
import org.chervillift.core.tasks.TaskScheduler;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;

/** Renews the lease of one worker, polls its run reports, and sends it orders. */
final class WorkerSession {

    /** The polls of all workers: one that goes on shows that polling works. */
    static final String POLLS = "worker polls";

    private static final Duration POLL_WAIT = Duration.ofMillis(700);
    private static final Duration POLL_DELAY_AFTER_ENDED_RUNS = Duration.ofMillis(30);
    private static final Duration POLL_DELAY_AFTER_FAILURE = Duration.ofMillis(200);
    private static final Duration POLL_DELAY_WHILE_UNACKNOWLEDGED = Duration.ofMillis(200);

    /** Gives a status check a later send time than the answer that it follows. */
    private static final Duration STATUS_CHECK_DELAY = Duration.ofMillis(2);

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onChange;
    private final Runnable onFenced;
    private final long leaseMillis;
    private WorkerEntry entry;
    private WorkerCalls calls;
    private Optional<ClockReading> workerClock = Optional.empty();
    private boolean statusCheckScheduled;
    private boolean asking;
    private boolean unreachable;
    private boolean stopped;

    /** A reading of the worker's clock, with this process's time. */
    private record ClockReading(long clockMillis, long readAtMillis) {}

    WorkerSession(
            HolderContext context,
            TaskScheduler board,
            WorkerEntry entry,
            Runnable onChange,
            Runnable onFenced) {
        this.context = Checks.notNull("context", context);
        this.board = Checks.notNull("board", board);
        this.entry = Checks.notNull("entry", entry);
        this.onChange = Checks.notNull("onChange", onChange);
        this.onFenced = Checks.notNull("onFenced", onFenced);
        this.leaseMillis = context.settings().workerLeaseMillis();
        this.calls = context.workers().apply(entry);
    }

    void start() {
        pollOrRetry();
    }

    void stop() {
        stopped = true;
        calls.close();
    }

    /** Applies a newer registry entry; reconnects if the address or the lifetime changed. */
    void update(WorkerEntry newest) {
        boolean reconnect =
                !newest.address().equals(entry.address())
                        || newest.bornAtMillis() != entry.bornAtMillis();
        entry = newest;
        if (reconnect) {
            calls.close();
            calls = context.workers().apply(newest);
            workerClock = Optional.empty();
        }
    }

    private void pollAfter(Duration pause) {
        if (!stopped) {
            context.scheduler().schedule(pause, this::pollOrRetry);
        }
    }

    private void pollOrRetry() {
        if (!context.supervision().run("worker poll", this::poll)) {
            pollAfter(POLL_DELAY_AFTER_FAILURE);
        }
    }

    private void poll() {
        if (stopped) {
            return;
        }
        if (!context.maySendOrders().getAsBoolean()) {
            context.recordProgress(POLLS);
            pollAfter(POLL_DELAY_AFTER_FAILURE);
            return;
        }
        long sentAt = context.nowMillis();
        // The lease of an unreachable worker is not extended, so that its tasks can be moved.
        OptionalLong expiresAt = unreachable ? OptionalLong.empty() : grantLease(sentAt);
        WorkerCalls usedCalls = calls;
        Duration wait = expiresAt.isPresent() ? POLL_WAIT : Duration.ZERO;
        context.supervision()
                .whenAnswered(
                        "worker poll",
                        usedCalls.hold(
                                context.term(), expiresAt, board.acknowledgedEnd(entry.id()), wait),
                        (answer, fault) -> {
                            if (usedCalls == calls && !stopped) {
                                onHoldAnswer(answer, sentAt);
                            } else {
                                pollAfter(Duration.ofMillis(1));
                            }
                            context.recordProgress(POLLS);
                        },
                        () -> pollAfter(POLL_DELAY_AFTER_FAILURE));
    }

    /**
     * Grants a lease if the worker's clock is known.
     *
     * <p>Returns the end of the lease by the worker's clock, and records it on the board by this
     * process's clock.
     */
    private OptionalLong grantLease(long now) {
        if (workerClock.isEmpty()) {
            return OptionalLong.empty();
        }
        long age = now - workerClock.get().readAtMillis();
        double drift = (age + leaseMillis) * (FleetSettings.MAX_CLOCK_SLOWDOWN - 1);
        board.leaseGranted(
                entry.id(),
                now + leaseMillis + Math.round(drift) + FleetSettings.LEASE_SLACK_MILLIS);
        return OptionalLong.of(workerClock.get().clockMillis() + age + leaseMillis);
    }

    private void onHoldAnswer(HoldAnswer answer, long sentAt) {
        switch (answer) {
            case HoldAnswer.Reported r -> onReport(r.report(), sentAt);
            case HoldAnswer.Fenced f -> {
                onFenced.run();
                pollAfter(POLL_DELAY_AFTER_FAILURE);
            }
            case HoldAnswer.OtherLifetime o ->
                    onFailure("the address is used by another lifetime of the worker");
            case HoldAnswer.Failed f -> onFailure(f.reason());
        }
    }

    private void onReport(RunReport report, long sentAt) {
        if (board.isOfEndedLifetime(entry.id(), report)) {
            pollAfter(POLL_DELAY_AFTER_FAILURE);
            return;
        }
        long now = context.nowMillis();
        boolean firstReport = workerClock.isEmpty();
        workerClock = Optional.of(new ClockReading(report.clockMillis(), now));
        if (unreachable) {
            unreachable = false;
            EventLog.log(TaskEvent.WORKER_REACHABLE, Field.of("worker", entry.id()));
        }
        boolean newEndedRuns = board.applyReport(entry.id(), report, sentAt, now);
        checkOrdersSoon();
        onChange.run();
        if (firstReport) {
            pollAfter(Duration.ZERO);
        } else if (newEndedRuns) {
            pollAfter(POLL_DELAY_AFTER_ENDED_RUNS);
        } else {
            pollAfter(
                    report.ended().isEmpty()
                            ? Duration.ofMillis(1)
                            : POLL_DELAY_WHILE_UNACKNOWLEDGED);
        }
    }

    private void onFailure(String why) {
        if (!unreachable) {
            unreachable = true;
            EventLog.log(
                    TaskEvent.WORKER_UNREACHABLE,
                    Field.of("worker", entry.id()),
                    Field.of("address", entry.address()),
                    Field.of("why", why));
        }
        board.setReachable(entry.id(), false, context.nowMillis());
        onChange.run();
        pollAfter(POLL_DELAY_AFTER_FAILURE);
    }

    /** Asks for a report at once, unless one was asked for and has not come. */
    void ask() {
        if (!asking) {
            asking = true;
            checkStatus(() -> asking = false);
        }
    }

    /** Asks for a report at once, in parallel with the long poll. */
    private void checkStatus(Runnable onEnd) {
        if (stopped || !context.maySendOrders().getAsBoolean()) {
            onEnd.run();
            return;
        }
        long sentAt = context.nowMillis();
        WorkerCalls usedCalls = calls;
        context.supervision()
                .whenAnswered(
                        "worker status",
                        usedCalls.hold(
                                context.term(),
                                OptionalLong.empty(),
                                board.acknowledgedEnd(entry.id()),
                                Duration.ZERO),
                        (answer, fault) -> {
                            onEnd.run();
                            if (usedCalls == calls
                                    && !stopped
                                    && answer instanceof HoldAnswer.Reported r) {
                                board.applyReport(
                                        entry.id(), r.report(), sentAt, context.nowMillis());
                                onChange.run();
                            }
                        },
                        () -> {
                            onEnd.run();
                            onChange.run();
                        });
    }

    /** Asks for a report soon, if only that tells the outcome of an order. */
    private void checkOrdersSoon() {
        if (board.needsFreshReport(entry.id()) && !statusCheckScheduled) {
            statusCheckScheduled = true;
            context.scheduler()
                    .schedule(
                            STATUS_CHECK_DELAY,
                            () -> {
                                statusCheckScheduled = false;
                                checkStatus(() -> {});
                            });
        }
    }

    /** Sends an order, and passes its answer to the board. */
    void send(Order order) {
        CompletionStage<OrderAnswer> answer =
                switch (order) {
                    case Order.Start s -> start(s);
                    case Order.Stop s -> calls.stop(s.task(), s.run(), context.term());
                    case Order.Pace p -> calls.pace(p.task(), p.run(), p.percent(), context.term());
                };
        context.supervision()
                .whenAnswered(
                        "worker order",
                        answer,
                        (a, fault) -> onOrderAnswer(order, fault == null ? a : OrderAnswer.UNKNOWN),
                        () -> onOrderAnswer(order, OrderAnswer.UNKNOWN));
    }

    private CompletionStage<OrderAnswer> start(Order.Start order) {
        OptionalLong expiresAt =
                unreachable ? OptionalLong.empty() : grantLease(context.nowMillis());
        if (expiresAt.isEmpty()) {
            return CompletableFuture.completedFuture(OrderAnswer.NOTHING_DONE);
        }
        return calls.start(
                new StartCall(
                        order.task(),
                        order.run(),
                        order.payload(),
                        expiresAt.getAsLong(),
                        context.term(),
                        order.checkpoint(),
                        order.ticket()));
    }

    private void onOrderAnswer(Order order, OrderAnswer answer) {
        if (stopped) {
            return;
        }
        board.applyAnswer(order, answer, context.nowMillis());
        checkOrdersSoon();
        if (answer == OrderAnswer.FENCED) {
            onFenced.run();
        }
        onChange.run();
    }
}
