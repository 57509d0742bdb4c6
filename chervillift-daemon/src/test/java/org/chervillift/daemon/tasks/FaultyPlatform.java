package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.chervillift.api.platform.FleetRows;
import org.chervillift.api.platform.FleetVms;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.RowStore;
import org.chervillift.api.platform.Transaction.Condition;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.platform.WorkerCalls.HoldAnswer;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.platform.fleet.FleetRowCodec;

/** Wraps the platform; chosen calls break what their interface promises, for some times. */
final class FaultyPlatform {

    private final Map<String, Plan> plans = new HashMap<>();
    private final Map<String, Integer> counts = new HashMap<>();

    /** How the next calls of a kind fail. */
    private static final class Plan {
        private final CallFault fault;
        private int left;

        Plan(CallFault fault, int left) {
            this.fault = fault;
            this.left = left;
        }
    }

    /** Lets the next calls of a kind fail, for example {@code hold} or {@code commit progress}. */
    void failNext(String kind, CallFault fault, int times) {
        plans.put(kind, new Plan(fault, times));
    }

    /** Returns how many calls of a kind were made. */
    int count(String kind) {
        return counts.getOrDefault(kind, 0);
    }

    /** Returns whether the planned faults of a kind have all come. */
    boolean isDone(String kind) {
        return plans.get(kind).left == 0;
    }

    private <T> CompletionStage<T> call(String kind, Supplier<CompletionStage<T>> real) {
        return takes(kind) ? plans.get(kind).fault.apply() : real.get();
    }

    private boolean takes(String kind) {
        counts.merge(kind, 1, Integer::sum);
        Plan plan = plans.get(kind);
        if (plan == null || plan.left == 0) {
            return false;
        }
        plan.left--;
        return true;
    }

    /** Wraps a store; kinds are {@code scan}, {@code commit} and {@code follow} with a table. */
    RowStore store(RowStore real) {
        return new RowStore() {
            @Override
            public CompletionStage<Page> scan(String table, String part, KeyRange range, int most) {
                return call("scan " + table, () -> real.scan(table, part, range, most));
            }

            @Override
            public CompletionStage<Outcome> commit(
                    String part, List<Condition> conditions, List<Write> writes) {
                String table = writes.getFirst().key().table();
                return call("commit " + table, () -> real.commit(part, conditions, writes));
            }

            @Override
            public CompletionStage<Changes> follow(String table, long after, Duration wait) {
                return call("follow " + table, () -> real.follow(table, after, wait));
            }
        };
    }

    /** Lets the next report of a worker be one that no board can apply. */
    void breakNextReport() {
        failNext("report", CallFault.THROWS, 1);
    }

    private HoldAnswer breakIfPlanned(HoldAnswer answer) {
        if (answer instanceof HoldAnswer.Reported r && takes("report")) {
            List<RunningTask> unusable = Collections.singletonList(null);
            RunReport report = r.report();
            return new HoldAnswer.Reported(
                    new RunReport(
                            report.bornAtMillis(),
                            report.clockMillis(),
                            unusable,
                            report.ended(),
                            report.moreEnds()));
        }
        return answer;
    }

    /** Connects to a worker; the kind is {@code connect}. */
    WorkerCalls connect(Supplier<WorkerCalls> real) {
        throwIfPlanned("connect");
        return worker(real.get());
    }

    /** Wraps the calls to a worker; kinds are {@code hold}, {@code start} and {@code stop}. */
    private WorkerCalls worker(WorkerCalls real) {
        return new WorkerCalls() {
            @Override
            public CompletionStage<HoldAnswer> hold(
                    long fence, OptionalLong expiresAt, long acknowledged, Duration wait) {
                return call(
                        "hold",
                        () ->
                                real.hold(fence, expiresAt, acknowledged, wait)
                                        .thenApply(FaultyPlatform.this::breakIfPlanned));
            }

            @Override
            public CompletionStage<OrderAnswer> start(StartCall order) {
                return call("start", () -> real.start(order));
            }

            @Override
            public CompletionStage<OrderAnswer> stop(TaskId task, int run, long fence) {
                return call("stop", () -> real.stop(task, run, fence));
            }

            @Override
            public CompletionStage<OrderAnswer> pace(
                    TaskId task, int run, int percent, long fence) {
                return real.pace(task, run, percent, fence);
            }

            @Override
            public void close() {
                real.close();
            }
        };
    }

    /** Wraps the calls for VMs; kinds are {@code list}, {@code move} and {@code maintain}. */
    FleetVms vms(FleetVms real) {
        return new FleetVms() {
            @Override
            public CompletionStage<List<ListedFleetVm>> list() {
                return call("list", real::list);
            }

            @Override
            public CompletionStage<VmAnswer> move(String vm, String pool, Duty duty) {
                return call("move", () -> real.move(vm, pool, duty));
            }

            @Override
            public CompletionStage<VmAnswer> maintain(String vm, long wave, Duty duty) {
                return call("maintain", () -> real.maintain(vm, wave, duty));
            }
        };
    }

    /**
     * Returns the codec of rows; kinds are {@code worker row}, and {@code worker table}, which is
     * asked for when a holder is created.
     */
    FleetRows rows() {
        FleetRowCodec real = new FleetRowCodec();
        return new FleetRows() {
            @Override
            public String operatorTable() {
                return real.operatorTable();
            }

            @Override
            public String workerTable() {
                throwIfPlanned("worker table");
                return real.workerTable();
            }

            @Override
            public Optional<OperatorRow> operatorRow(String key, String value) {
                return real.operatorRow(key, value);
            }

            @Override
            public WorkerRow worker(String key, String value) {
                throwIfPlanned("worker row");
                return real.worker(key, value);
            }

            @Override
            public RowKey waveStatusKey(long wave) {
                return real.waveStatusKey(wave);
            }

            @Override
            public Write waveStatus(long wave, boolean completed) {
                return real.waveStatus(wave, completed);
            }
        };
    }

    private void throwIfPlanned(String kind) {
        if (takes(kind)) {
            throw new IllegalStateException("injected");
        }
    }
}
