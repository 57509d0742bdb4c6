package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Gives each task under which several workers have crashed a worker of its own.
 *
 * <p>When a worker crashes, all tasks on it are under the same crash, and only one of them may have
 * caused it. A task that starts alone cannot take others down with it. If it keeps running, it was
 * not the cause, and others may join it; if its worker crashes as well, it was.
 *
 * <p>A worker is kept free for such a task until its other runs have ended. Where many tasks crash
 * their workers, half of a pool goes on serving the others: a task that gets no worker of its own
 * in time starts beside others. A task waits twice as long while a worker is kept free for it, and
 * so do long-running tasks, since a service loses more by crashes than by the absence of a task.
 */
final class IsolationPlanner {

    /** How long a task runs alone. A task that crashes the workers that start it does so sooner. */
    private static final long ISOLATION_MILLIS = 2_000;

    /** The time until a pool without a worker to spare has ordered a VM, and the VM is used. */
    private static final long VM_ORDER_MILLIS = 1_000;

    /** No task waits longer: a service whose task is absent for longer has lost it. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    /** One worker of this many in a pool may be isolated or kept free. */
    private static final long WORKERS_PER_ISOLATED_ONE = 2;

    /** Rounds further apart than this had none between them, such as in an outage of the store. */
    private static final long MAX_ROUND_GAP_MILLIS = 500;

    private final long waitMillis;
    private final Consumer<SchedulerEvent> events;
    private final Map<TaskEntry, Reservation> reservations = new HashMap<>();
    private final Map<WorkerRecord, Long> isolatedUntil = new HashMap<>();
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
        this.waitMillis = VM_ORDER_MILLIS + vmMoveMillis;
        this.events = events;
    }

    /**
     * Drops the reservations of tasks that no longer wait, and ends isolations that are over.
     *
     * <p>Time in which no starts were planned does not count as waiting.
     */
    void beginRound(Collection<StepEntry> startableSteps, long now) {
        long gap = now - lastRoundAt;
        if (gap > MAX_ROUND_GAP_MILLIS) {
            reservations.replaceAll((t, r) -> new Reservation(r.worker(), r.since() + gap));
        }
        lastRoundAt = now;
        reservations.keySet().removeIf(t -> !t.isWaiting() || !startableSteps.contains(t.step()));
        isolatedUntil
                .entrySet()
                .removeIf(e -> now >= e.getValue() || !runsTaskToIsolate(e.getKey()));
    }

    private static boolean runsTaskToIsolate(WorkerRecord worker) {
        return worker.runs().stream().anyMatch(r -> r.task().crashes().needsIsolation());
    }

    /** Reserves workers of a pool for the tasks of a step that must start alone. */
    void reserve(StepEntry step, List<WorkerRecord> pool, long now) {
        for (TaskEntry task : step.tasks().kept()) {
            if (task.isWaiting() && task.crashes().needsIsolation()) {
                reserve(task, pool, now);
            }
        }
    }

    private void reserve(TaskEntry task, List<WorkerRecord> pool, long now) {
        Reservation before =
                reservations.getOrDefault(task, new Reservation(Optional.empty(), now));
        Optional<WorkerRecord> worker = Optional.empty();
        if (!hasWaitedTooLong(task, before, now)) {
            worker =
                    before.worker()
                            .filter(w -> canBecomeFree(task, w, now))
                            .or(() -> reserveNewWorker(task, pool, now));
        }
        reservations.put(task, new Reservation(worker, before.since()));
    }

    private boolean hasWaitedTooLong(TaskEntry task, Reservation reservation, long now) {
        boolean longer = task.step().spec().longRunning() || reservation.worker().isPresent();
        return now - reservation.since()
                > Math.min(MAX_WAIT_MILLIS, longer ? 2 * waitMillis : waitMillis);
    }

    private Optional<WorkerRecord> reserveNewWorker(
            TaskEntry task, List<WorkerRecord> pool, long now) {
        if (!mayIsolateOneMore(pool, now)) {
            return Optional.empty();
        }
        Optional<WorkerRecord> chosen = choose(task, pool, now);
        chosen.ifPresent(w -> logReservation(task, w));
        return chosen;
    }

    private boolean mayIsolateOneMore(List<WorkerRecord> pool, long now) {
        long usable = pool.stream().filter(w -> w.acceptsTasks(now)).count();
        long taken = pool.stream().filter(w -> isIsolated(w) || isReserved(w)).count();
        return taken < mostIsolated(usable);
    }

    /** Returns how many workers of a pool may be isolated or kept free at once. */
    static long mostIsolated(long usableWorkers) {
        return Math.max(1, usableWorkers / WORKERS_PER_ISOLATED_ONE);
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
                && !isIsolated(worker);
    }

    private boolean isIsolated(WorkerRecord worker) {
        return isolatedUntil.containsKey(worker);
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

    /** Returns whether a task may be started on a worker, as far as isolation is concerned. */
    boolean mayStart(TaskEntry task, WorkerRecord worker, long now) {
        if (isIsolated(worker) || isReservedForOther(task, worker)) {
            return false;
        }
        Reservation reservation = reservations.get(task);
        return reservation == null
                || (reservation.reserves(worker) && worker.runs().isEmpty())
                || hasWaitedTooLong(task, reservation, now);
    }

    private boolean isReservedForOther(TaskEntry task, WorkerRecord worker) {
        return !reservations.isEmpty()
                && reservations.entrySet().stream()
                        .anyMatch(e -> e.getKey() != task && e.getValue().reserves(worker));
    }

    /** Keeps other tasks off a worker on which a task starts alone that needs that. */
    void recordStart(TaskEntry task, WorkerRecord worker, long now) {
        if (task.crashes().needsIsolation() && worker.runs().isEmpty()) {
            isolatedUntil.put(worker, now + ISOLATION_MILLIS);
        }
    }
}
