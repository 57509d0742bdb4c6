package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.chervillift.api.tasks.ListedFleetVm;
import org.chervillift.api.tasks.ListedFleetVm.Status;
import org.chervillift.core.tasks.vms.VmList;

/**
 * Detects workers that no VM runs any more, from lists of the VMs.
 *
 * <p>A worker may start again under its identifier while a list is on its way. So a list tells
 * nothing of a lifetime that the holder learned of after the list was requested. Nor does a list
 * that lacks a worker hold against a later answer of that lifetime: then the list was incomplete.
 *
 * <p>A worker has ended once two consecutive lists lack it, both of which tell of its lifetime, and
 * it has answered nothing since the first of them. One that no list has shown in this lifetime may
 * be newer than the platform's knowledge, and gets more time, unless it registered before the
 * holder's term.
 */
public final class EndedWorkerDetector {

    private static final long NEVER_LISTED_GRACE_MILLIS = 1_500;

    private final Map<String, Absence> absences = new HashMap<>();
    private final Map<String, Long> listedLifetimes = new HashMap<>();

    /**
     * The absence of a worker from consecutive lists.
     *
     * @param knownSince when its lifetime became known, in milliseconds
     * @param shownAt when the first of the lists arrived, in milliseconds
     */
    private record Absence(long knownSince, long shownAt) {}

    /**
     * What a list shows.
     *
     * @param ended the workers whose lifetimes have ended
     * @param newlyAbsent the workers that this list is the first to lack; those that are alive can
     *     still show it
     */
    public record Findings(List<String> ended, List<String> newlyAbsent) {

        private static final Findings NONE = new Findings(List.of(), List.of());

        public Findings {
            ended = List.copyOf(ended);
            newlyAbsent = List.copyOf(newlyAbsent);
        }
    }

    /**
     * Applies a list.
     *
     * <p>A list that names no worker for a VM that is up is ignored, except for VMs in standby,
     * which are off.
     *
     * @param standbyPools the pools whose VMs are off
     * @param workers the workers that may have runs
     */
    public Findings applyList(
            VmList list, Set<String> standbyPools, Collection<WorkerEvidence> workers) {
        Set<String> running = runningWorkers(list, standbyPools);
        if (running.isEmpty() || running.contains("")) {
            return Findings.NONE;
        }
        forgetAllBut(workers);
        List<String> ended = new ArrayList<>();
        List<String> newlyAbsent = new ArrayList<>();
        for (WorkerEvidence worker : workers) {
            if (list.requestedAt() < worker.knownSince()) {
                continue;
            }
            if (running.contains(worker.workerId())) {
                listedLifetimes.put(worker.workerId(), worker.knownSince());
                absences.remove(worker.workerId());
            } else if (!isAbsenceKnown(worker)) {
                Absence absence = new Absence(worker.knownSince(), list.receivedAt());
                absences.put(worker.workerId(), absence);
                newlyAbsent.add(worker.workerId());
            } else if (mayBeJudged(worker, list.receivedAt())) {
                ended.add(worker.workerId());
            }
        }
        return new Findings(ended, newlyAbsent);
    }

    private static Set<String> runningWorkers(VmList list, Set<String> standbyPools) {
        Set<String> running = new HashSet<>();
        for (ListedFleetVm vm : list.vms()) {
            boolean off = standbyPools.contains(vm.pool()) && vm.worker().isEmpty();
            if (vm.status() == Status.UP && !off) {
                running.add(vm.worker());
            }
        }
        return running;
    }

    private void forgetAllBut(Collection<WorkerEvidence> workers) {
        Set<String> ids =
                workers.stream().map(WorkerEvidence::workerId).collect(Collectors.toSet());
        absences.keySet().retainAll(ids);
        listedLifetimes.keySet().retainAll(ids);
    }

    /** Returns whether an earlier list lacked this lifetime, and it has answered nothing since. */
    private boolean isAbsenceKnown(WorkerEvidence worker) {
        Absence absence = absences.get(worker.workerId());
        return absence != null
                && absence.knownSince() == worker.knownSince()
                && worker.aliveAt() < absence.shownAt();
    }

    private boolean mayBeJudged(WorkerEvidence worker, long now) {
        Long listed = listedLifetimes.get(worker.workerId());
        boolean wasListed = listed != null && listed == worker.knownSince();
        long absentMillis = now - absences.get(worker.workerId()).shownAt();
        return wasListed
                || worker.registeredBeforeTerm()
                || absentMillis >= NEVER_LISTED_GRACE_MILLIS;
    }
}
