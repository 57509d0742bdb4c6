package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.platform.PlacementAdvice;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.StoreException;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.daemon.tasks.TaskNode.PlatformAccess;

/** Wraps the clients of the platform, so that each call ends within a bound and none throws. */
final class BoundedPlatform {

    /** A read may bring many rows over a slow link. */
    private static final Duration SCAN_BOUND = Duration.ofSeconds(10);

    private static final Duration COMMIT_BOUND = Duration.ofSeconds(3);
    private static final Duration ORDER_BOUND = Duration.ofMillis(1_500);
    private static final Duration VM_BOUND = Duration.ofSeconds(5);
    private static final Duration ADVICE_BOUND = Duration.ofSeconds(8);

    /** What a call that waits at the other side may take beyond its wait. */
    private static final Duration POLL_RESERVE = Duration.ofSeconds(3);

    private BoundedPlatform() {}

    /** Returns the clients with bounds on all calls. */
    static PlatformAccess of(PlatformAccess access, Supervision supervision) {
        BoundedCalls storeCalls =
                new BoundedCalls(
                        supervision,
                        why -> new StoreException(StoreException.Effect.UNKNOWN, why, null));
        BoundedCalls calls =
                new BoundedCalls(
                        supervision,
                        why -> new ChervilliftException(ErrorCode.PLATFORM_UNAVAILABLE, why));
        return new PlatformAccess(
                new Store(access.store(), storeCalls),
                access.rows(),
                entry -> new Worker(access.workers().apply(entry), calls),
                new Vms(access.vms(), calls),
                access.advice().map(a -> advice(a, calls)));
    }

    private static PlacementAdvice advice(PlacementAdvice delegate, BoundedCalls calls) {
        return (job, occurrence, step, workers) ->
                calls.call(
                        "advice", ADVICE_BOUND, () -> delegate.ask(job, occurrence, step, workers));
    }

    private record Store(RowStore delegate, BoundedCalls calls) implements RowStore {

        @Override
        public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
            return calls.call(
                    "store read", SCAN_BOUND, () -> delegate.scan(table, part, range, most));
        }

        @Override
        public CompletionStage<Outcome> commit(
                String part, List<Condition> conditions, List<Write> writes) {
            return calls.call(
                    "store commit", COMMIT_BOUND, () -> delegate.commit(part, conditions, writes));
        }

        @Override
        public CompletionStage<Changes> follow(String table, long afterVersion, Duration wait) {
            return calls.call(
                    "store feed",
                    wait.plus(POLL_RESERVE),
                    () -> delegate.follow(table, afterVersion, wait));
        }
    }

    private record Worker(WorkerCalls delegate, BoundedCalls calls) implements WorkerCalls {

        @Override
        public CompletionStage<HoldAnswer> hold(
                long fence, OptionalLong expiresAt, long acknowledged, Duration wait) {
            return calls.call(
                            "worker poll",
                            wait.plus(POLL_RESERVE),
                            () -> delegate.hold(fence, expiresAt, acknowledged, wait))
                    .exceptionally(fault -> new HoldAnswer.Failed(messageOf(fault)));
        }

        private static String messageOf(Throwable fault) {
            return Optional.ofNullable(fault.getMessage()).orElseGet(fault::toString);
        }

        @Override
        public CompletionStage<OrderAnswer> start(StartCall call) {
            return order(calls.call("worker order", ORDER_BOUND, () -> delegate.start(call)));
        }

        @Override
        public CompletionStage<OrderAnswer> stop(TaskId task, int run, long fence) {
            return order(
                    calls.call("worker order", ORDER_BOUND, () -> delegate.stop(task, run, fence)));
        }

        @Override
        public CompletionStage<OrderAnswer> pace(TaskId task, int run, int percent, long fence) {
            return order(
                    calls.call(
                            "worker order",
                            ORDER_BOUND,
                            () -> delegate.pace(task, run, percent, fence)));
        }

        private static CompletionStage<OrderAnswer> order(CompletionStage<OrderAnswer> answer) {
            return answer.exceptionally(fault -> OrderAnswer.UNKNOWN);
        }

        @Override
        public void close() {
            delegate.close();
        }
    }

    private record Vms(FleetVms delegate, BoundedCalls calls) implements FleetVms {

        @Override
        public CompletionStage<List<ListedFleetVm>> list() {
            return calls.call("VM list", VM_BOUND, delegate::list);
        }

        @Override
        public CompletionStage<VmAnswer> move(String vm, String pool, Duty duty) {
            return order(calls.call("VM order", VM_BOUND, () -> delegate.move(vm, pool, duty)));
        }

        @Override
        public CompletionStage<VmAnswer> maintain(String vm, long wave, Duty duty) {
            return order(calls.call("VM order", VM_BOUND, () -> delegate.maintain(vm, wave, duty)));
        }

        private static CompletionStage<VmAnswer> order(CompletionStage<VmAnswer> answer) {
            return answer.exceptionally(fault -> VmAnswer.UNKNOWN);
        }
    }
}
