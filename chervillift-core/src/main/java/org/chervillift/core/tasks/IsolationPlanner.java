package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Gives each task under which several workers have crashed a worker of its own.
 *
 * <p>When a worker crashes, all tasks on it are under the same crash, and only one of them may have
 * caused it. A task that runs alone cannot take others down with it. If it completes, it was not
 * the cause; if its worker crashes as well, it was.
 *
 * <p>A worker is kept free for such a task until its other runs have ended. A task that gets no
 * worker of its own in time starts beside others.
 */
final class IsolationPlanner {

    /** The time until a pool without a worker to spare has ordered a VM, and the VM is used. */
    private static final long VM_ORDER_MILLIS = 1_000;

    /** One worker of this many in a pool may be kept free. */
    private static final int WORKERS_PER_RESERVATION = 4;

    /** Rounds further apart than this had none between them, such as in an outage of the store. */
    private static final long MAX_ROUND_GAP_MILLIS = 500;

    private final long maxWaitMillis;
    private final Consumer<SchedulerEvent> events;
    private final Map<TaskEntry, Reservation> reservations = new HashMap<>();
    private final Set<WorkerRecord> isolated = new HashSet<>();
    private long lastRoundAt = Long.MAX_VALUE;

    /**
     * The wait of a task for a worker of its own.
     *
     * @param worker the worker that is kept free, if there is one
     * @param since when the task began to wait, in milliseconds
     */
    private record Reservation(Optional<WorkerRecord> worker, long since) {

        boolean reserves(WorkerRecord other) {
            return worker.filter(w -> w == other).isPresent();
        }
    }

    /**
     * Creates a planner without reservations.
     *
     * @param vmMoveMillis how long a VM takes to join a pool, in milliseconds
     */
    IsolationPlanner(long vmMoveMillis, Consumer<SchedulerEvent> events) {
        this.maxWaitMillis = VM_ORDER_MILLIS + vmMoveMillis;
        this.events = events;
    }

    /**
     * Drops the reservations of tasks that no longer wait, and finds the isolated workers.
     *
     * <p>Time in which no starts were planned does not count as waiting.
     */
    void beginRound(
            Collection<StepEntry> startableSteps, Collection<WorkerRecord> workers, long now) {
        long gap = now - lastRoundAt;
        if (gap > MAX_ROUND_GAP_MILLIS) {
            reservations.replaceAll((t, r) -> new Reservation(r.worker(), r.since() + gap));
        }
        lastRoundAt = now;
        reservations.keySet().removeIf(t -> !t.isWaiting() || !startableSteps.contains(t.step()));
        isolated.clear();
        workers.stream().filter(IsolationPlanner::runsIsolatedTask).forEach(isolated::add);
    }

    private static boolean runsIsolatedTask(WorkerRecord worker) {
        return worker.runs().stream().anyMatch(r -> r.task().crashes().needsIsolation());
    }

    /** Reserves workers of a pool for the tasks of a step that must run alone. */
    void reserve(StepEntry step, List<WorkerRecord> pool, long now) {
        for (TaskEntry task : step.tasks()) {
            if (task.isWaiting() && task.crashes().needsIsolation()) {
                reserve(task, pool, now);
            }
        }
    }

    private void reserve(TaskEntry task, List<WorkerRecord> pool, long now) {
        Reservation before = reservations.get(task);
        long since = before == null ? now : before.since();
        Optional<WorkerRecord> worker = Optional.empty();
        if (!hasWaitedTooLong(since, now)) {
            worker = keptWorker(task, now).or(() -> reserveNewWorker(task, pool, now));
        }
        reservations.put(task, new Reservation(worker, since));
    }

    private boolean hasWaitedTooLong(long since, long now) {
        return now - since > maxWaitMillis;
    }

    private Optional<WorkerRecord> keptWorker(TaskEntry task, long now) {
        return Optional.ofNullable(reservations.get(task))
                .flatMap(Reservation::worker)
                .filter(w -> canBecomeFree(task, w, now));
    }

    private Optional<WorkerRecord> reserveNewWorker(
            TaskEntry task, List<WorkerRecord> pool, long now) {
        if (!mayReserveOneMore(pool, now)) {
            return Optional.empty();
        }
        Optional<WorkerRecord> chosen = choose(task, pool, now);
        chosen.ifPresent(w -> logReservation(task, w));
        return chosen;
    }

    private boolean mayReserveOneMore(List<WorkerRecord> pool, long now) {
        long usable = pool.stream().filter(w -> w.acceptsTasks(now)).count();
        long reserved =
                reservations.values().stream()
                        .flatMap(r -> r.worker().stream())
                        .filter(pool::contains)
                        .count();
        return reserved < Math.ceilDiv(usable, WORKERS_PER_RESERVATION) && reserved < usable - 1;
    }

    private Optional<WorkerRecord> choose(TaskEntry task, List<WorkerRecord> pool, long now) {
        return pool.stream()
                .filter(w -> !isReserved(w) && canBecomeFree(task, w, now))
                .min(
                        Comparator.comparingInt((WorkerRecord w) -> w.runs().size())
                                .thenComparing(WorkerRecord::id));
    }

    private boolean canBecomeFree(TaskEntry task, WorkerRecord worker, long now) {
        StepEntry step = task.step();
        return Placement.isEligible(step, worker, now)
                && step.spec().footprint().fitsIn(worker.entry().capacity())
                && !worker.hasLongRunningRuns()
                && !isolated.contains(worker);
    }

    private boolean isReserved(WorkerRecord worker) {
        return reservations.values().stream().anyMatch(r -> r.reserves(worker));
    }

    private void logReservation(TaskEntry task, WorkerRecord worker) {
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.RESERVED,
                        task.step().job().id(),
                        task.id().toString(),
                        worker.id(),
                        "crashes=" + task.crashes().count() + " runs=" + worker.runs().size()));
    }

    /** Keeps other tasks off a worker on which a task starts that must run alone. */
    void recordStart(TaskEntry task, WorkerRecord worker) {
        if (task.crashes().needsIsolation()) {
            isolated.add(worker);
        }
    }

    /** Returns whether a task may be started on a worker, as far as isolation is concerned. */
    boolean mayStart(TaskEntry task, WorkerRecord worker, long now) {
        if (isReservedForOther(task, worker)) {
            return false;
        }
        Reservation reservation = reservations.get(task);
        if (reservation == null) {
            return !isolated.contains(worker);
        }
        return worker.runs().isEmpty()
                || (hasWaitedTooLong(reservation.since(), now) && !isolated.contains(worker));
    }

    private boolean isReservedForOther(TaskEntry task, WorkerRecord worker) {
        return reservations.entrySet().stream()
                .anyMatch(e -> e.getKey() != task && e.getValue().reserves(worker));
    }
}
