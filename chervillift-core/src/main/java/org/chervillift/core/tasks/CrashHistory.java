package org.chervillift.core.tasks;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The runs of a task whose workers crashed.
 *
 * <p>A worker that crashes takes all of its runs with it, so a single crash says little about a
 * task. A task under which several workers crash is likely to be what crashes them.
 */
final class CrashHistory {

    /**
     * The number of crashed workers after which a task is given up, if it ran alone on the last
     * one.
     */
    static final int MAX_CRASHES = 3;

    /** The number of crashed workers after which a task that ends by itself is given up. */
    static final int MAX_CRASHES_BESIDE_OTHERS = 4;

    /**
     * The number of crashed workers after which a long-running task is given up. Giving it up stops
     * all other tasks of its service, which may serve users well.
     */
    static final int MAX_CRASHES_OF_SERVICES = 5;

    /** The number of crashed workers from which on a task runs alone on its worker. */
    static final int CRASHES_BEFORE_ISOLATION = 2;

    /** The number of confirmed crashes without which a task is not given up. */
    static final int MIN_CONFIRMED_CRASHES = 2;

    private final SortedSet<Integer> runs = new TreeSet<>();
    private final SortedSet<Integer> unconfirmedRuns = new TreeSet<>();
    private final boolean longRunning;
    private final Set<Integer> storedStarts = new HashSet<>();
    private int storedCount;
    private boolean aloneAtLastCrash;

    /**
     * Creates an empty history.
     *
     * @param longRunning whether the task runs until its job is cancelled
     */
    CrashHistory(boolean longRunning) {
        this.longRunning = longRunning;
    }

    /**
     * Records that the worker of a run crashed; returns false if it is recorded already.
     *
     * @param alone whether no other run was on the worker
     */
    boolean record(int run, boolean alone) {
        aloneAtLastCrash = alone;
        return runs.add(run);
    }

    /**
     * Records that a worker crashed that had not confirmed a run; returns false if it is recorded
     * already. The run may have begun and crashed the worker, or the worker may have been gone.
     */
    boolean recordUnconfirmed(int run) {
        aloneAtLastCrash = false;
        return unconfirmedRuns.add(run);
    }

    /** Restores what an earlier holder stored. */
    void restore(JobProgress.TaskFailures stored) {
        runs.addAll(stored.crashedRuns());
        unconfirmedRuns.addAll(stored.unconfirmedCrashes());
        storedCount = runs.size();
    }

    /** Forgets all crashes. */
    void clear() {
        runs.clear();
        unconfirmedRuns.clear();
        storedCount = 0;
    }

    /** Returns the numbers of the runs whose workers crashed. */
    List<Integer> runs() {
        return List.copyOf(runs);
    }

    /** Returns the numbers of the runs that a crashed worker had not confirmed. */
    List<Integer> unconfirmedRuns() {
        return List.copyOf(unconfirmedRuns);
    }

    /** Returns the number of the runs whose workers crashed. */
    int count() {
        return runs.size();
    }

    /** Returns whether a worker has crashed under the task. */
    boolean isSuspect() {
        return !runs.isEmpty();
    }

    /** Returns whether the task must share its worker with no other task. */
    boolean needsIsolation() {
        return runs.size() >= CRASHES_BEFORE_ISOLATION;
    }

    /** Returns whether the task must not be started again. */
    boolean isExhausted() {
        return runs.size() >= MIN_CONFIRMED_CRASHES
                && runs.size() + unconfirmedRuns.size() >= maxCrashes();
    }

    private int maxCrashes() {
        if (longRunning) {
            return MAX_CRASHES_OF_SERVICES;
        }
        return aloneAtLastCrash ? MAX_CRASHES : MAX_CRASHES_BESIDE_OTHERS;
    }

    /**
     * Returns whether a new holder would know all crashes, and that a run was started, so that it
     * notices a crash that this holder does not live to see.
     *
     * @param run the number of the run
     */
    boolean isStartStored(int run) {
        return !isSuspect() || (storedCount >= runs.size() && storedStarts.contains(run));
    }

    /** Records what is stored of this task. */
    void markStored(JobProgress.TaskFailures stored) {
        storedCount = Math.max(storedCount, stored.crashedRuns().size());
        storedStarts.clear();
        stored.startedRuns().forEach(r -> storedStarts.add(r.run()));
    }
}
