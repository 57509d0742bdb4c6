package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.placement.CopyGain;
import org.chervillift.core.tasks.placement.RoomForecast;

/**
 * Finds the runs of which a copy may be started, and the room that copies may take.
 *
 * <p>What is a copy follows from the runs that are open: of two runs of a task, the one with the
 * higher number. A new holder therefore knows it from the reports of the workers.
 */
final class CopyPlanner {

    /** The part of a pool's cores that copies may take is one of this many. */
    private static final long SHARE_DIVISOR = 10;

    private final RunEndEstimator runEnds;
    private final Map<String, Long> milliCoresLeft = new HashMap<>();

    CopyPlanner(RunEndEstimator runEnds) {
        this.runEnds = runEnds;
    }

    /** Returns the runs of which a copy may pay, the one that has taken the longest first. */
    List<Run> findLate(Collection<List<WorkerRecord>> pools, long now) {
        milliCoresLeft.clear();
        return pools.stream()
                .flatMap(List::stream)
                .flatMap(w -> w.runs().stream())
                .filter(r -> mayBeCopied(r) && gainOf(r, now).isLate())
                .sorted(Comparator.comparingLong(Run::openedAt))
                .toList();
    }

    private static boolean mayBeCopied(Run run) {
        TaskEntry task = run.task();
        StepSpec spec = task.step().spec();
        return spec.allowDuplicates()
                && !spec.gang()
                && !spec.longRunning()
                && run.phase() == Run.Phase.RUNNING
                && !run.wasPaced()
                && task.runs().size() == 1
                && !task.wasCopied()
                && task.crashes().isEmpty();
    }

    /** Returns the pools in which a task waits for room, so that none is left for copies. */
    static Set<String> poolsWithWaitingTasks(Collection<JobEntry> liveJobs) {
        return liveJobs.stream()
                .flatMap(JobEntry::steps)
                .filter(s -> !s.isDone() && s.isReady())
                .filter(s -> s.tasks().waiting().iterator().hasNext())
                .map(s -> s.job().policy().pool())
                .collect(Collectors.toSet());
    }

    /** Returns whether a copy of a run on a worker is expected to end sooner than the run. */
    boolean isSooner(Run run, WorkerRecord worker, long now) {
        return worker != run.worker()
                && gainOf(run, now).pays(runEnds.newRunMillis(run.task().step(), worker));
    }

    private CopyGain gainOf(Run run, long now) {
        StepEntry step = run.task().step();
        long endsAt = runEnds.endsAt(run, now);
        return new CopyGain(
                runEnds.taskMillis(step),
                runEnds.deviationMillis(step),
                now - run.openedAt(),
                endsAt == RoomForecast.NEVER ? RoomForecast.NEVER : endsAt - now);
    }

    /** Returns whether copies of a pool may take the cores of one more task. */
    boolean hasShareFor(StepEntry step, List<WorkerRecord> pool, long now) {
        String name = step.job().policy().pool();
        long left = milliCoresLeft.computeIfAbsent(name, p -> shareLeft(pool, now));
        return step.spec().footprint().milliCores() <= left;
    }

    private static long shareLeft(List<WorkerRecord> pool, long now) {
        long capacity = 0;
        long copies = 0;
        for (WorkerRecord worker : pool) {
            capacity += worker.acceptsTasks(now) ? worker.entry().capacity().milliCores() : 0;
            copies +=
                    worker.runs().stream()
                            .filter(CopyPlanner::isCopy)
                            .mapToLong(r -> r.footprint().milliCores())
                            .sum();
        }
        return capacity / SHARE_DIVISOR - copies;
    }

    /** Returns whether another run of the same task began before this one. */
    static boolean isCopy(Run run) {
        return run.task().runs().stream().anyMatch(r -> r.number() < run.number());
    }

    /** Records that a copy of a task is started. */
    void recordCopy(TaskEntry task) {
        task.markCopied();
        StepEntry step = task.step();
        milliCoresLeft.merge(
                step.job().policy().pool(), -step.spec().footprint().milliCores(), Long::sum);
    }
}
