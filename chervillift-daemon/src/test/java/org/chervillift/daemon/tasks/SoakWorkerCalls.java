package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.runtime.supervision.Scheduler;

/** The calls of one process to one lifetime of a worker, over a link that may be in trouble. */
final class SoakWorkerCalls implements WorkerCalls {

    private static final Duration TIMEOUT = Duration.ofMillis(200);
    private static final Duration SLOW_WORK = Duration.ofMillis(150);
    private static final Duration SLOW_ANSWER = Duration.ofMillis(150);
    private static final int MAX_LATE_MILLIS = 3_000;
    private static final int MAX_LATENCY_MICROS = 4_000;

    private final SoakLink link;
    private final SoakFleet fleet;
    private final Scheduler base;
    private final Random random;
    private final WorkerEntry entry;

    SoakWorkerCalls(
            SoakLink link, SoakFleet fleet, Scheduler base, Random random, WorkerEntry entry) {
        this.link = link;
        this.fleet = fleet;
        this.base = base;
        this.random = random;
        this.entry = entry;
    }

    @Override
    public CompletionStage<HoldAnswer> hold(
            long fence, OptionalLong expiresAt, long acknowledged, Duration wait) {
        Call<HoldAnswer> call =
                new Call<>(
                        wait.plus(TIMEOUT),
                        new HoldAnswer.Failed("no answer"),
                        new HoldAnswer.OtherLifetime(),
                        false);
        return send(
                call,
                (worker, answer) -> worker.hold(fence, expiresAt, acknowledged, wait, answer));
    }

    @Override
    public CompletionStage<OrderAnswer> start(StartCall start) {
        return order(w -> w.start(start));
    }

    @Override
    public CompletionStage<OrderAnswer> stop(TaskId task, int run, long fence) {
        return order(w -> w.stop(task, run, fence));
    }

    @Override
    public CompletionStage<OrderAnswer> pace(TaskId task, int run, int percent, long fence) {
        return order(w -> OrderAnswer.DONE);
    }

    @Override
    public void close() {
        // There are no connections.
    }

    private CompletionStage<OrderAnswer> order(Function<SoakWorker, OrderAnswer> action) {
        Call<OrderAnswer> call =
                new Call<>(TIMEOUT, OrderAnswer.UNKNOWN, OrderAnswer.OTHER_LIFETIME, true);
        return send(call, (worker, answer) -> answer.accept(action.apply(worker)));
    }

    /** A kind of call: how long its client waits, and what it says without a good answer. */
    private record Call<T>(Duration timeout, T failed, T otherLifetime, boolean isOrder) {}

    /** What a worker does on a call. */
    private interface Action<T> {
        void run(SoakWorker worker, Consumer<T> answer);
    }

    private <T> CompletionStage<T> send(Call<T> call, Action<T> action) {
        CompletableFuture<T> odd = link.oddAnswer();
        if (odd != null) {
            return odd;
        }
        CompletableFuture<T> future = link.process().newFuture();
        link.process().schedule(call.timeout(), () -> future.complete(call.failed()));
        if (!link.has(SoakLink.Fault.WORKER_REQUESTS_LOST)) {
            base.schedule(latency(), () -> arrive(call, action, future));
        }
        return future;
    }

    private <T> void arrive(Call<T> call, Action<T> action, CompletableFuture<T> future) {
        Optional<SoakWorker> worker = fleet.worker(entry.id());
        SoakMode mode = worker.map(SoakWorker::mode).orElse(SoakMode.RESETTING);
        if (mode == SoakMode.SILENT) {
            return;
        }
        if (mode == SoakMode.RESETTING) {
            link.process().complete(future, call.failed(), null);
            return;
        }
        if (worker.get().entry().bornAtMillis() != entry.bornAtMillis()) {
            link.process().complete(future, call.otherLifetime(), null);
            return;
        }
        Duration before = Duration.ZERO;
        Duration after = Duration.ZERO;
        if (mode == SoakMode.SLOW) {
            before = SLOW_WORK;
            after = SLOW_ANSWER;
        } else if (mode == SoakMode.LATE && call.isOrder()) {
            before = Duration.ofMillis(random.nextInt(MAX_LATE_MILLIS));
        }
        Duration answerDelay = after.plus(latency());
        base.schedule(before, () -> execute(worker.get(), action, answerDelay, future));
    }

    private <T> void execute(
            SoakWorker worker, Action<T> action, Duration delay, CompletableFuture<T> future) {
        if (worker.isCrashed()) {
            return;
        }
        action.run(
                worker,
                answer ->
                        base.schedule(
                                delay,
                                () -> {
                                    if (!link.has(SoakLink.Fault.WORKER_ANSWERS_LOST)) {
                                        link.process().complete(future, answer, null);
                                    }
                                }));
    }

    private Duration latency() {
        return Duration.ofNanos(1_000L * random.nextInt(MAX_LATENCY_MICROS));
    }
}
