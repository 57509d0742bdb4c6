package org.chervillift.standin.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.platform.WorkerCalls;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * One lifetime of a worker that runs each task for the same time.
 *
 * <p>It obeys fencing tokens, numbers of runs and its lease. Used by one thread.
 */
public final class MemoryWorker implements WorkerCalls {

    private static final Duration LATENCY = MemoryStore.LATENCY;
    private static final int ALL = 100;
    private static final int MAX_ENDS_PER_REPORT = 500;

    private final WorkerEntry entry;
    private final Duration runTime;
    private final Consumer<String> starts;
    private final Scheduler scheduler;
    private final Later later;
    private final Map<TaskId, Started> running = new HashMap<>();
    private final Map<TaskId, Integer> highestEnded = new HashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private Predicate<TaskId> crashesUnder = t -> false;
    private Runnable onCrash = () -> {};
    private boolean crashed;
    private boolean silent;
    private long fence;
    private long expiresAt;
    private long ends;

    /** A run that has not ended. */
    private record Started(int run, long at) {}

    /**
     * Creates a worker that runs nothing.
     *
     * @param entry what it says of itself
     * @param runTime how long each task takes
     * @param starts is told of each run that starts
     */
    public MemoryWorker(
            WorkerEntry entry, Duration runTime, Consumer<String> starts, Scheduler scheduler) {
        this.entry = Checks.notNull("entry", entry);
        this.runTime = Checks.notNull("runTime", runTime);
        this.starts = Checks.notNull("starts", starts);
        this.scheduler = Checks.notNull("scheduler", scheduler);
        this.later = new Later(scheduler);
    }

    /** Returns what it says of itself. */
    public WorkerEntry entry() {
        return entry;
    }

    /** Returns how many tasks it runs. */
    public int runningCount() {
        return running.size();
    }

    /** Returns the tasks that it runs. */
    public Set<TaskId> runningTasks() {
        return Set.copyOf(running.keySet());
    }

    /** Returns whether it has crashed. */
    public boolean isCrashed() {
        return crashed;
    }

    /**
     * Lets it crash under some tasks, as soon as they begin and before it answers.
     *
     * @param then runs after the crash
     */
    public void crashUnder(Predicate<TaskId> tasks, Runnable then) {
        this.crashesUnder = Checks.notNull("tasks", tasks);
        this.onCrash = Checks.notNull("then", then);
    }

    /** Ends it for good, with all that it runs and knows. */
    public void crash() {
        crashed = true;
        running.clear();
        ended.clear();
    }

    /** Lets it answer no call from now on, or answer again. */
    public void setSilent(boolean value) {
        this.silent = value;
    }

    @Override
    public CompletionStage<HoldAnswer> hold(
            long token, OptionalLong leaseEnd, long acknowledged, Duration wait) {
        CompletableFuture<HoldAnswer> future = new CompletableFuture<>();
        scheduler.schedule(
                LATENCY,
                () -> {
                    if (isAway()) {
                        future.complete(new HoldAnswer.Failed("away"));
                    } else if (token < fence) {
                        future.complete(new HoldAnswer.Fenced());
                    } else {
                        checkLease();
                        fence = token;
                        ended.removeIf(e -> e.number() <= acknowledged);
                        leaseEnd.ifPresent(e -> expiresAt = Math.max(expiresAt, e));
                        report(nowMillis() + wait.toMillis(), future);
                    }
                });
        return future;
    }

    /** Answers as soon as a run has ended, or when the wait is over. */
    private void report(long until, CompletableFuture<HoldAnswer> future) {
        checkLease();
        if (isAway()) {
            future.complete(new HoldAnswer.Failed("away"));
        } else if (!ended.isEmpty() || nowMillis() >= until) {
            future.complete(new HoldAnswer.Reported(state()));
        } else {
            scheduler.schedule(LATENCY, () -> report(until, future));
        }
    }

    private RunReport state() {
        List<RunningTask> rows = new ArrayList<>();
        running.forEach((task, s) -> rows.add(new RunningTask(task, s.run(), "", percent(s), 0)));
        List<EndedRun> listed = ended.stream().limit(MAX_ENDS_PER_REPORT).toList();
        return new RunReport(
                entry.bornAtMillis(), nowMillis(), rows, listed, listed.size() < ended.size());
    }

    private int percent(Started started) {
        long done = (nowMillis() - started.at()) * ALL / runTime.toMillis();
        return (int) Math.min(ALL, done);
    }

    @Override
    public CompletionStage<OrderAnswer> start(StartCall call) {
        return ordered(
                call.fence(),
                () -> {
                    expiresAt = Math.max(expiresAt, call.expiresAt());
                    return begin(call);
                });
    }

    private OrderAnswer begin(StartCall call) {
        Started present = running.get(call.task());
        if (present != null && present.run() == call.run()) {
            return OrderAnswer.DONE;
        }
        if (call.run() <= highestEnded.getOrDefault(call.task(), 0)) {
            return OrderAnswer.RUN_TOO_OLD;
        }
        if (call.expiresAt() <= nowMillis()) {
            return OrderAnswer.EXPIRED;
        }
        starts.accept(call.task() + "#" + call.run() + "@" + entry.id());
        if (crashesUnder.test(call.task())) {
            crash();
            onCrash.run();
            return OrderAnswer.UNKNOWN;
        }
        Started started = new Started(call.run(), nowMillis());
        running.put(call.task(), started);
        scheduler.schedule(runTime, () -> finish(call.task(), started));
        return OrderAnswer.DONE;
    }

    private void finish(TaskId task, Started started) {
        checkLease();
        if (running.get(task) == started) {
            end(task, RunEnd.DONE);
        }
    }

    @Override
    public CompletionStage<OrderAnswer> stop(TaskId task, int run, long token) {
        return ordered(
                token,
                () -> {
                    Started started = running.get(task);
                    if (started != null && started.run() <= run) {
                        end(task, RunEnd.STOPPED);
                    }
                    highestEnded.merge(task, run, Math::max);
                    return OrderAnswer.DONE;
                });
    }

    @Override
    public CompletionStage<OrderAnswer> pace(TaskId task, int run, int percent, long token) {
        return ordered(token, () -> OrderAnswer.DONE);
    }

    @Override
    public void close() {
        // There are no connections.
    }

    private CompletionStage<OrderAnswer> ordered(long token, Supplier<OrderAnswer> order) {
        return later.complete(
                LATENCY,
                () -> {
                    if (isAway()) {
                        return OrderAnswer.UNKNOWN;
                    }
                    checkLease();
                    if (token < fence) {
                        return OrderAnswer.FENCED;
                    }
                    fence = token;
                    return order.get();
                });
    }

    private void checkLease() {
        if (nowMillis() > expiresAt) {
            List.copyOf(running.keySet()).forEach(t -> end(t, RunEnd.LEASE_EXPIRED));
        }
    }

    private void end(TaskId task, RunEnd how) {
        Started started = running.remove(task);
        ends++;
        highestEnded.merge(task, started.run(), Math::max);
        ended.add(new EndedRun(ends, task, started.run(), how, ""));
    }

    private boolean isAway() {
        return crashed || silent;
    }

    private long nowMillis() {
        return scheduler.now().toEpochMilli();
    }
}
