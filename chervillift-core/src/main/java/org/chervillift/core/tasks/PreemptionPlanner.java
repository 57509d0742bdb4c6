package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.TaskId;

/**
 * Decides which runs of lower priority are stopped so that urgent tasks start in time.
 *
 * <p>Used when a pool is full of work that takes longer than urgent jobs may wait: an urgent task
 * stops runs if its job would miss its objective by waiting for the next expected end, and the stop
 * makes no other job miss an objective that it would have met. The least lost work decides.
 *
 * <p>Never stopped are members of a gang, runs that end within the time that a stop takes, tasks
 * that were stopped twice, and long-running tasks: these go before urgent tasks, and would take the
 * room again.
 */
final class PreemptionPlanner {

    /** The priority of queues whose tasks may stop others. */
    private static final int URGENT_PRIORITY = 0;

    private static final int MAX_PREEMPTIONS_PER_TASK = 2;

    /** Bounds the cost of a plan; further tasks follow in later plans. */
    private static final int MAX_TASKS_PER_PLAN = 64;

    /** Bounds the cost of a plan; each of them compares all runs of the pool. */
    private static final int MAX_TASKS_WITHOUT_END_PER_PLAN = 8;

    private static final long FAR_AHEAD = Long.MAX_VALUE;

    private final StartPlanner planner;
    private final JobRanking ranking;
    private final StopCostEstimator stopCosts;
    private final long stopTimeoutMillis;
    private final Consumer<SchedulerEvent> events;
    private final Map<TaskId, Stops> stopsByTask = new HashMap<>();

    /**
     * The runs that are being stopped for an urgent task.
     *
     * @param request what the task counts towards the limit of its customer
     */
    private record Stops(String customer, Resources request, List<Run> runs) {

        static Stops of(TaskEntry urgent, List<Run> runs) {
            StepEntry step = urgent.step();
            return new Stops(step.job().job().customer(), step.spec().request(), runs);
        }

        Stops {
            runs = List.copyOf(runs);
        }
    }

    PreemptionPlanner(
            StartPlanner planner,
            JobRanking ranking,
            RunEndEstimator runEnds,
            SchedulerSettings settings,
            Consumer<SchedulerEvent> events) {
        this.planner = planner;
        this.ranking = ranking;
        this.stopCosts = new StopCostEstimator(runEnds);
        this.stopTimeoutMillis = settings.stopTimeoutMillis();
        this.events = events;
    }

    /** Returns whether tasks of a step may stop runs; a gang would need room for all its tasks. */
    static boolean isUrgent(StepEntry step) {
        return step.job().policy().priority() == URGENT_PRIORITY
                && !step.spec().longRunning()
                && !step.spec().gang();
    }

    /**
     * Begins to stop runs for the urgent steps for which the last plan found no room; returns
     * whether there are any such runs.
     */
    boolean stopRuns(
            List<StepEntry> blocked,
            Collection<WorkerRecord> workers,
            Manifest manifest,
            long now) {
        stopsByTask.values().removeIf(s -> s.runs().stream().noneMatch(this::isStopping));
        Map<String, List<StepEntry>> byPool =
                blocked.stream()
                        .filter(s -> now <= ranking.latestStart(s))
                        .collect(Collectors.groupingBy(s -> s.job().policy().pool()));
        boolean any = false;
        for (Map.Entry<String, List<StepEntry>> entry : byPool.entrySet()) {
            List<WorkerRecord> pool =
                    workers.stream().filter(w -> w.pool().equals(entry.getKey())).toList();
            any |= stopRunsInPool(entry.getValue(), pool, manifest, now);
        }
        return any;
    }

    private boolean isStopping(Run run) {
        return run.phase() == Run.Phase.STOPPING && run.task().runs().contains(run);
    }

    private boolean stopRunsInPool(
            List<StepEntry> steps, List<WorkerRecord> pool, Manifest manifest, long now) {
        List<PreemptionRound.Victim> victims = victimsIn(pool, now);
        if (victims.isEmpty()) {
            return false;
        }
        PreemptionRound round = new PreemptionRound(endsIn(pool, now), victims, claimedRuns());
        List<TaskEntry> withoutEnd =
                firstTasks(steps, manifest, now).stream()
                        .filter(t -> !findsEndInTime(t, round, now))
                        .limit(MAX_TASKS_WITHOUT_END_PER_PLAN)
                        .toList();
        boolean any = false;
        for (TaskEntry task : withoutEnd) {
            StepEntry step = task.step();
            long backAt = now + stopCosts.expectedMillis(step);
            List<Run> runs = round.claimStops(step, w -> isUsable(task, w, now), backAt);
            runs.forEach(r -> stop(r, task, now));
            if (!runs.isEmpty()) {
                stopsByTask.put(task.id(), Stops.of(task, runs));
                any = true;
            }
        }
        return any;
    }

    private boolean findsEndInTime(TaskEntry task, PreemptionRound round, long now) {
        StepEntry step = task.step();
        return round.claimEndBefore(step, w -> isUsable(task, w, now), ranking.latestStart(step));
    }

    /**
     * Returns the tasks that may stop runs: no more than their customers' limits allow to start,
     * beside those for which runs are being stopped.
     */
    private List<TaskEntry> firstTasks(List<StepEntry> steps, Manifest manifest, long now) {
        Map<String, Resources> requested = requestedByCustomer();
        List<TaskEntry> tasks = new ArrayList<>();
        for (StepEntry step : steps) {
            String customer = step.job().job().customer();
            for (TaskEntry task : step.tasks().waiting()) {
                if (tasks.size() == MAX_TASKS_PER_PLAN) {
                    return tasks;
                }
                if (!mayStopRuns(task, now)) {
                    continue;
                }
                Resources total =
                        requested
                                .getOrDefault(customer, Resources.NONE)
                                .plus(step.spec().request());
                if (!planner.isWithinLimit(customer, total, manifest)) {
                    break;
                }
                requested.put(customer, total);
                tasks.add(task);
            }
        }
        return tasks;
    }

    private Map<String, Resources> requestedByCustomer() {
        Map<String, Resources> requested = new HashMap<>();
        stopsByTask
                .values()
                .forEach(s -> requested.merge(s.customer(), s.request(), Resources::plus));
        return requested;
    }

    private boolean mayStopRuns(TaskEntry task, long now) {
        return task.notBefore() <= now
                && !task.crashes().needsIsolation()
                && !stopsByTask.containsKey(task.id());
    }

    private Set<Run> claimedRuns() {
        Set<Run> claimed = new HashSet<>();
        stopsByTask.values().forEach(s -> claimed.addAll(s.runs()));
        return claimed;
    }

    /** Returns whether a worker may run a task and only lacks the room for it. */
    private boolean isUsable(TaskEntry task, WorkerRecord worker, long now) {
        return Placement.isEligible(task.step(), worker, now)
                && !worker.isOverCapacity()
                && !worker.hasRoomFor(task.step().spec().footprint())
                && !planner.isKeptFromUrgent(worker)
                && planner.isAllowedByIsolation(task, worker, now);
    }

    private List<PreemptionRound.ExpectedEnd> endsIn(List<WorkerRecord> pool, long now) {
        List<PreemptionRound.ExpectedEnd> ends = new ArrayList<>();
        for (WorkerRecord worker : pool) {
            for (Run run : worker.runs()) {
                long remaining =
                        run.phase() == Run.Phase.STOPPING
                                ? stopTimeoutMillis
                                : stopCosts.remainingMillis(run, now);
                ends.add(new PreemptionRound.ExpectedEnd(run, now + remaining));
            }
        }
        return ends;
    }

    private List<PreemptionRound.Victim> victimsIn(List<WorkerRecord> pool, long now) {
        List<PreemptionRound.Victim> victims = new ArrayList<>();
        for (WorkerRecord worker : pool) {
            for (Run run : worker.runs()) {
                if (mayStop(run, now)) {
                    victims.add(
                            new PreemptionRound.Victim(
                                    run, stopCosts.lostWork(run, now), latestStartOf(run, now)));
                }
            }
        }
        return victims;
    }

    private boolean mayStop(Run run, long now) {
        StepEntry step = run.task().step();
        return step.job().policy().priority() > URGENT_PRIORITY
                && run.phase() == Run.Phase.RUNNING
                && !step.spec().gang()
                && !step.spec().longRunning()
                && run.task().preemptionCount() < MAX_PREEMPTIONS_PER_TASK
                && stopCosts.remainingMillis(run, now) > stopTimeoutMillis;
    }

    /** Returns until when the task of a run must start anew so that its job is still on time. */
    private long latestStartOf(Run run, long now) {
        StepEntry step = run.task().step();
        long latestStart = ranking.latestStart(step);
        long latestEnd = latestStart + stopCosts.expectedMillis(step);
        boolean late = now + stopCosts.remainingMillis(run, now) > latestEnd;
        return late ? FAR_AHEAD : latestStart + stopCosts.keptMillis(run, now);
    }

    private void stop(Run run, TaskEntry urgent, long now) {
        run.task().recordPreemption();
        run.enterPhase(Run.Phase.STOPPING, now);
        events.accept(
                SchedulerEvent.of(
                        SchedulerEvent.Kind.PREEMPTED,
                        run,
                        "urgent="
                                + urgent.id()
                                + " lostMillis="
                                + stopCosts.lostMillis(run, now)
                                + " remainingMillis="
                                + stopCosts.remainingMillis(run, now)
                                + " preemptions="
                                + run.task().preemptionCount()));
    }
}
