package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.chervillift.api.platform.WorkerCalls.HoldAnswer;
import org.chervillift.api.platform.WorkerCalls.StartCall;
import org.chervillift.api.tasks.EndedRun;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.RunningTask;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * One lifetime of a worker that runs the tasks of a load.
 *
 * <p>It obeys fencing tokens, numbers of runs, its lease and its capacity.
 */
final class SoakWorker {

    private static final int ALL = 100;
    private static final int MAX_ENDS_PER_REPORT = 500;
    private static final Duration FAILURE_TIME = Duration.ofMillis(50);

    private final SoakFleet fleet;
    private final Scheduler scheduler;
    private final long clockOffset;
    private final Map<TaskId, Started> running = new HashMap<>();
    private final Map<TaskId, Integer> highestEnded = new HashMap<>();
    private final List<EndedRun> ended = new ArrayList<>();
    private final List<Hold> holds = new ArrayList<>();
    private WorkerEntry entry;
    private SoakMode mode = SoakMode.NORMAL;
    private boolean failing;
    private boolean crashed;
    private long fence;
    private long expiresAt;
    private long ends;
    private long endsBeforeLapse;

    private record Started(int run, long at, long millis) {}

    /** A call for a report that waits for an end. */
    private record Hold(long until, Consumer<HoldAnswer> answer) {}

    SoakWorker(SoakFleet fleet, Scheduler scheduler, WorkerEntry entry, long clockOffset) {
        this.fleet = fleet;
        this.scheduler = scheduler;
        this.entry = entry;
        this.clockOffset = clockOffset;
    }

    WorkerEntry entry() {
        return entry;
    }

    void entry(WorkerEntry newest) {
        entry = newest;
    }

    SoakMode mode() {
        return mode;
    }

    void mode(SoakMode newest) {
        mode = newest;
    }

    void failing(boolean value) {
        failing = value;
    }

    boolean isCrashed() {
        return crashed;
    }

    /** Returns whether it takes tasks and carries them out. */
    boolean isSound() {
        return !crashed && !failing && mode == SoakMode.NORMAL && !entry.draining();
    }

    /** Ends the lifetime, with all that it runs and knows. */
    void crash() {
        crashed = true;
        List.copyOf(running.keySet()).forEach(fleet::taskCrashed);
        running.clear();
        holds.clear();
    }

    boolean isRunning(String job) {
        return running.keySet().stream().anyMatch(t -> t.job().equals(job));
    }

    boolean isRunning(TaskId task) {
        return running.containsKey(task);
    }

    Map<TaskId, Integer> runs() {
        Map<TaskId, Integer> runs = new HashMap<>();
        running.forEach((t, s) -> runs.put(t, s.run()));
        return runs;
    }

    Resources used() {
        return running.keySet().stream()
                .map(fleet::request)
                .reduce(Resources.NONE, Resources::plus);
    }

    private long clock() {
        return scheduler.now().toEpochMilli() + clockOffset;
    }

    void hold(
            long token,
            OptionalLong leaseEnd,
            long acknowledged,
            Duration wait,
            Consumer<HoldAnswer> answer) {
        if (token < fence) {
            answer.accept(new HoldAnswer.Fenced());
            return;
        }
        checkLease();
        fence = token;
        acknowledge(acknowledged);
        leaseEnd.ifPresent(e -> expiresAt = Math.max(expiresAt, e));
        holds.add(new Hold(clock() + wait.toMillis(), answer));
        answerHolds();
        scheduler.schedule(wait, this::answerHolds);
    }

    /** Takes note of ends; one after which the lease has lapsed counts as never noted. */
    private void acknowledge(long number) {
        ended.stream()
                .filter(e -> e.number() <= number && e.number() > endsBeforeLapse)
                .forEach(e -> fleet.job(e.task()).noted(e.task(), e.end()));
        ended.removeIf(e -> e.number() <= number);
    }

    private void answerHolds() {
        checkLease();
        if (crashed) {
            return;
        }
        for (Hold hold : List.copyOf(holds)) {
            if (!ended.isEmpty() || clock() >= hold.until()) {
                holds.remove(hold);
                hold.answer().accept(new HoldAnswer.Reported(report()));
            }
        }
    }

    private RunReport report() {
        List<RunningTask> rows = new ArrayList<>();
        running.forEach((t, s) -> rows.add(new RunningTask(t, s.run(), "", percent(t, s), 0)));
        List<EndedRun> listed = ended.stream().limit(MAX_ENDS_PER_REPORT).toList();
        return new RunReport(
                entry.bornAtMillis(), clock(), rows, listed, listed.size() < ended.size());
    }

    private int percent(TaskId task, Started started) {
        SoakJob job = fleet.job(task);
        long share = (clock() - started.at()) * ALL / Math.max(1, started.millis());
        return job.isService() ? ALL : (int) Math.min(ALL, share);
    }

    OrderAnswer start(StartCall call) {
        OrderAnswer refusal = checkToken(call.fence());
        if (refusal != OrderAnswer.DONE) {
            return refusal;
        }
        expiresAt = Math.max(expiresAt, call.expiresAt());
        Started present = running.get(call.task());
        if (present != null && present.run() == call.run()) {
            return OrderAnswer.DONE;
        }
        if (present != null || call.run() <= highestEnded.getOrDefault(call.task(), 0)) {
            return OrderAnswer.RUN_TOO_OLD;
        }
        if (call.expiresAt() <= clock()) {
            return OrderAnswer.EXPIRED;
        }
        if (!used().plus(fleet.request(call.task())).fitsIn(entry.capacity())) {
            return OrderAnswer.NO_ROOM;
        }
        begin(call.task(), call.run());
        return OrderAnswer.DONE;
    }

    private void begin(TaskId task, int run) {
        long millis = fleet.runMillis(task, run, entry);
        Started started = new Started(run, clock(), millis);
        fleet.taskStarts(task, entry.id());
        running.put(task, started);
        SoakJob job = fleet.job(task);
        boolean fails = failing || job.failsNext(task);
        if (fails || !job.isService()) {
            Duration time = fails ? FAILURE_TIME : Duration.ofMillis(millis);
            scheduler.schedule(time, () -> finish(task, started, fails));
        }
    }

    private void finish(TaskId task, Started started, boolean fails) {
        checkLease();
        if (!crashed && running.get(task) == started) {
            end(task, fails ? RunEnd.FAILED : RunEnd.DONE);
        }
    }

    OrderAnswer stop(TaskId task, int run, long token) {
        OrderAnswer refusal = checkToken(token);
        if (refusal != OrderAnswer.DONE) {
            return refusal;
        }
        Started started = running.get(task);
        if (started != null && started.run() <= run) {
            end(task, RunEnd.STOPPED);
        }
        highestEnded.merge(task, run, Math::max);
        return OrderAnswer.DONE;
    }

    private OrderAnswer checkToken(long token) {
        checkLease();
        if (token < fence) {
            return OrderAnswer.FENCED;
        }
        fence = token;
        return OrderAnswer.DONE;
    }

    /** Ends all runs once the lease is over. */
    void checkLease() {
        if (!crashed && clock() > expiresAt) {
            endsBeforeLapse = ends;
            List.copyOf(running.keySet()).forEach(t -> end(t, RunEnd.LEASE_EXPIRED));
        }
    }

    /** Ends a run of a gang of which another run has ended. */
    void breakGang(TaskId task, int run) {
        Started started = running.get(task);
        if (started != null && started.run() == run) {
            end(task, RunEnd.GANG_BROKEN);
        }
    }

    private void end(TaskId task, RunEnd how) {
        Started started = running.remove(task);
        if (started == null) {
            // It ended with its gang.
            return;
        }
        ends++;
        highestEnded.merge(task, started.run(), Math::max);
        ended.add(new EndedRun(ends, task, started.run(), how, ""));
        fleet.taskEnded(task, started.run(), how);
        answerHolds();
    }
}
