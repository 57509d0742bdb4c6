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

/** Keeps the lease of one worker, reads its reports, and sends it orders. */
final class WorkerLink {

    private static final Duration POLL_WAIT = Duration.ofMillis(700);
    private static final Duration PAUSE_AFTER_ENDS = Duration.ofMillis(30);
    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(200);
    private static final Duration PAUSE_UNACKNOWLEDGED = Duration.ofMillis(200);

    /** A look that is sent after an answer came must not seem to be sent in the same moment. */
    private static final Duration BEFORE_LOOK = Duration.ofMillis(2);

    private final HolderContext context;
    private final TaskScheduler board;
    private final Runnable onChange;
    private final Runnable onFenced;
    private final long leaseMillis;
    private WorkerEntry entry;
    private WorkerCalls calls;
    private Optional<ClockReading> clock = Optional.empty();
    private boolean lookScheduled;
    private boolean lost;
    private boolean stopped;

    /** The worker's clock as it was read. */
    private record ClockReading(long clockMillis, long readAt) {}

    WorkerLink(
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
        poll();
    }

    void stop() {
        stopped = true;
        calls.close();
    }

    /** Takes a newer entry of the registry. */
    void update(WorkerEntry newest) {
        boolean moved =
                !newest.address().equals(entry.address())
                        || newest.bornAtMillis() != entry.bornAtMillis();
        entry = newest;
        if (moved) {
            calls.close();
            calls = context.workers().apply(newest);
            clock = Optional.empty();
        }
    }

    private void pollAfter(Duration pause) {
        if (!stopped) {
            context.scheduler().schedule(pause, this::poll);
        }
    }

    private void poll() {
        if (stopped) {
            return;
        }
        if (!context.maySendOrders().getAsBoolean()) {
            pollAfter(PAUSE_AFTER_FAILURE);
            return;
        }
        long sentAt = context.now();
        // A worker that does not answer gets no longer lease, so that its tasks can go elsewhere.
        OptionalLong expiresAt = lost ? OptionalLong.empty() : leaseEnd(sentAt);
        WorkerCalls used = calls;
        Duration wait = expiresAt.isPresent() ? POLL_WAIT : Duration.ZERO;
        used.hold(context.term(), expiresAt, board.acknowledgedEnd(entry.id()), wait)
                .whenComplete(
                        (answer, fault) -> {
                            if (used == calls && !stopped) {
                                take(answer, sentAt);
                            } else {
                                pollAfter(Duration.ofMillis(1));
                            }
                        });
    }

    /** Returns the end of the lease on the worker's clock, and notes it here on ours. */
    private OptionalLong leaseEnd(long now) {
        if (clock.isEmpty()) {
            return OptionalLong.empty();
        }
        long age = now - clock.get().readAt();
        double drift = (age + leaseMillis) * (FleetSettings.SLOWEST_CLOCK - 1);
        board.leaseGranted(
                entry.id(),
                now + leaseMillis + Math.round(drift) + FleetSettings.LEASE_SLACK_MILLIS);
        return OptionalLong.of(clock.get().clockMillis() + age + leaseMillis);
    }

    private void take(HoldAnswer answer, long sentAt) {
        switch (answer) {
            case HoldAnswer.Reported r -> reported(r.report(), sentAt);
            case HoldAnswer.Fenced f -> {
                onFenced.run();
                pollAfter(PAUSE_AFTER_FAILURE);
            }
            case HoldAnswer.OtherLifetime o -> failed("another lifetime answers");
            case HoldAnswer.Failed f -> failed(f.reason());
        }
    }

    private void reported(RunReport report, long sentAt) {
        long now = context.now();
        boolean first = clock.isEmpty();
        clock = Optional.of(new ClockReading(report.clockMillis(), now));
        if (lost) {
            lost = false;
            EventLog.log(TaskEvent.WORKER_FOUND, Field.of("worker", entry.id()));
        }
        boolean newEnds = board.applyReport(entry.id(), report, sentAt, now);
        onChange.run();
        if (first) {
            poll();
        } else if (newEnds) {
            pollAfter(PAUSE_AFTER_ENDS);
        } else {
            pollAfter(report.ended().isEmpty() ? Duration.ofMillis(1) : PAUSE_UNACKNOWLEDGED);
        }
    }

    private void failed(String why) {
        if (!lost) {
            lost = true;
            EventLog.log(
                    TaskEvent.WORKER_LOST,
                    Field.of("worker", entry.id()),
                    Field.of("address", entry.address()),
                    Field.of("why", why));
        }
        board.setReachable(entry.id(), false, context.now());
        onChange.run();
        pollAfter(PAUSE_AFTER_FAILURE);
    }

    /** Asks at once what became of an order, beside the poll that waits for ends. */
    private void look() {
        lookScheduled = false;
        if (stopped || !context.maySendOrders().getAsBoolean()) {
            return;
        }
        long sentAt = context.now();
        WorkerCalls used = calls;
        used.hold(
                        context.term(),
                        OptionalLong.empty(),
                        board.acknowledgedEnd(entry.id()),
                        Duration.ZERO)
                .whenComplete(
                        (answer, fault) -> {
                            if (used == calls
                                    && !stopped
                                    && answer instanceof HoldAnswer.Reported r) {
                                board.applyReport(entry.id(), r.report(), sentAt, context.now());
                                onChange.run();
                            }
                        });
    }

    /** Sends an order; its answer goes to the board. */
    void send(Order order) {
        CompletionStage<OrderAnswer> answer =
                switch (order) {
                    case Order.Start s -> start(s);
                    case Order.Stop s -> calls.stop(s.task(), s.run(), context.term());
                    case Order.Pace p -> calls.pace(p.task(), p.run(), p.percent(), context.term());
                };
        answer.whenComplete((a, fault) -> answered(order, fault == null ? a : OrderAnswer.UNKNOWN));
    }

    private CompletionStage<OrderAnswer> start(Order.Start order) {
        OptionalLong expiresAt = lost ? OptionalLong.empty() : leaseEnd(context.now());
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

    private void answered(Order order, OrderAnswer answer) {
        if (stopped) {
            return;
        }
        board.applyAnswer(order, answer, context.now());
        if (board.needsFreshReport(entry.id()) && !lookScheduled) {
            lookScheduled = true;
            context.scheduler().schedule(BEFORE_LOOK, this::look);
        }
        if (answer == OrderAnswer.FENCED) {
            onFenced.run();
        }
        onChange.run();
    }
}
