package org.chervillift.core.tasks;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.chervillift.api.tasks.WorkerEntry;

/**
 * Closes the runs of workers whose leases have expired, forgets workers that have left, and tells
 * which others may have runs.
 */
final class WorkerLeases {

    private final Map<String, WorkerRecord> workers;
    private final PredecessorWorkers predecessor;
    private final WorkerLossHandler losses;
    private final JobLifecycle lifecycle;
    private final Consumer<SchedulerEvent> events;

    WorkerLeases(
            Map<String, WorkerRecord> workers,
            PredecessorWorkers predecessor,
            WorkerLossHandler losses,
            JobLifecycle lifecycle,
            Consumer<SchedulerEvent> events) {
        this.workers = workers;
        this.predecessor = predecessor;
        this.losses = losses;
        this.lifecycle = lifecycle;
        this.events = events;
    }

    /** Closes the runs of workers whose leases have expired; unlisted ones are forgotten. */
    void closeExpired(long now) {
        workers.values().stream()
                .filter(w -> now > lastLeaseEndsAt(w) && !w.runs().isEmpty())
                .forEach(w -> closeRuns(w, now));
        List<WorkerRecord> gone =
                workers.values().stream()
                        .filter(w -> !w.isListed() && now > lastLeaseEndsAt(w))
                        .toList();
        gone.forEach(w -> forget(w.id()));
    }

    private void closeRuns(WorkerRecord worker, long now) {
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.LEASE_OVER,
                        "",
                        "",
                        worker.id(),
                        "runs=" + worker.runs().size()));
        losses.leaseExpired(worker, now);
    }

    private void forget(String workerId) {
        workers.remove(workerId);
        lifecycle.forgetWorker(workerId);
    }

    /** Returns the pools of the workers that may have runs which this holder does not know. */
    Set<String> poolsOfUnknownRuns(long now) {
        return predecessor.poolsOfUnknownRuns(this::lastLeaseEndsAt, now);
    }

    /** Returns when the last lease ends that this holder or its predecessor granted to a worker. */
    private long lastLeaseEndsAt(WorkerRecord worker) {
        return Math.max(worker.leaseEndsAt(), predecessor.leasesEndAt());
    }

    private long lastLeaseEndsAt(String workerId) {
        WorkerRecord worker = workers.get(workerId);
        return worker == null ? predecessor.leasesEndAt() : lastLeaseEndsAt(worker);
    }

    /** Returns the pools, by worker identifier, of the workers that are listed or may have runs. */
    Map<String, String> workersInUse() {
        Map<String, String> inUse = new HashMap<>(predecessor.poolsByWorker());
        workers.values().stream()
                .filter(w -> w.isListed() || !w.runs().isEmpty())
                .forEach(w -> inUse.put(w.id(), w.pool()));
        return inUse;
    }

    /**
     * Returns whether all runs of a worker are known: it has reported to this holder, or the leases
     * of its former runs are over.
     */
    boolean areRunsKnown(String workerId, long now) {
        WorkerRecord worker = workers.get(workerId);
        boolean reported = worker != null && worker.hasReported();
        return reported || now > lastLeaseEndsAt(workerId);
    }

    /** Returns the workers on whose VM a newer one has registered. */
    List<String> formerWorkersOf(WorkerEntry newest) {
        return workers.values().stream()
                .filter(w -> w.isFormerOf(newest))
                .map(WorkerRecord::id)
                .toList();
    }

    /** Returns what is known of the lifetimes of these workers. */
    List<WorkerEvidence> evidenceOfWorkersInUse(long now) {
        return workersInUse().keySet().stream().map(id -> evidenceOf(id, now)).toList();
    }

    private WorkerEvidence evidenceOf(String workerId, long now) {
        WorkerRecord worker = workers.get(workerId);
        if (worker == null) {
            return WorkerEvidence.ofUnlisted(workerId);
        }
        boolean unreachable = worker.unreachableMillis(now) > 0;
        return worker.evidence(unreachable && predecessor.contains(workerId));
    }
}
