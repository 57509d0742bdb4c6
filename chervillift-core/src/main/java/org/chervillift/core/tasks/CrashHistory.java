package org.chervillift.core.tasks;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.chervillift.core.tasks.JobProgress.StartedRun;
import org.chervillift.core.tasks.JobProgress.TaskCrashes;

/**
 * The runs of a task whose workers crashed.
 *
 * <p>A worker that crashes takes all of its runs with it, so a single crash says little about a
 * task. A task under which several workers crash is likely to be what crashes them.
 */
final class CrashHistory {

    /** A long-running task that has run for this long does not crash workers that start it. */
    static final long PROBATION_MILLIS = 10_000;

    /** The number of crashed workers from which on a task starts alone on its worker. */
    static final int CRASHES_BEFORE_ISOLATION = 2;

    /**
     * The number of crashed workers after which a task is given up where workers hardly crash by
     * chance, if it ran alone on the last one; beside others it takes one more.
     */
    static final int MAX_CRASHES = 3;

    /**
     * The number of crashed workers after which a task that ends by itself is given up, however
     * often workers crash by chance: it is then started at most twice more after the third crash.
     */
    static final int MAX_CRASHES_BY_CHANCE = 5;

    /**
     * The number of crashed workers after which a long-running task is given up. Giving it up stops
     * all other tasks of its service, which may serve users well.
     */
    static final int MAX_CRASHES_OF_SERVICES = 5;

    /** The number of workers that must have crashed under a long-running task that ran alone. */
    static final int MIN_CRASHES_ALONE_OF_SERVICES = 3;

    /** The number of confirmed crashes without which a task is not given up. */
    static final int MIN_CONFIRMED_CRASHES = 2;

    /** The newest crashes of a kind that are kept; more than any decision needs. */
    private static final int MAX_KEPT_CRASHES = 16;

    private final boolean longRunning;
    private final SortedSet<Integer> confirmed = new TreeSet<>();
    private final SortedSet<Integer> alone = new TreeSet<>();
    private final SortedSet<Integer> unconfirmed = new TreeSet<>();
    private final SortedSet<Integer> unexplained = new TreeSet<>();
    private double crashShare;
    private final Set<Integer> storedStarts = new HashSet<>();
    private final Set<Integer> storedCrashes = new HashSet<>();
    private final Set<String> vms = new HashSet<>();

    /**
     * Creates an empty history.
     *
     * @param longRunning whether the task runs until its job is cancelled
     */
    CrashHistory(boolean longRunning) {
        this.longRunning = longRunning;
    }

    /**
     * Records that a worker surely crashed under a run; returns false if it is recorded already.
     *
     * @param crash the crash as seen from the run
     */
    boolean record(int run, Run.Crash crash) {
        if (crash.alone()) {
            add(alone, run);
        }
        return addCrash(confirmed, run, crash);
    }

    /**
     * Records that a worker crashed that had not confirmed a run, nor shown just before that it was
     * alive; returns false if it is recorded already. The run may have begun and crashed the
     * worker, or the worker may have been gone.
     */
    boolean recordUnconfirmed(int run, Run.Crash crash) {
        return addCrash(unconfirmed, run, crash);
    }

    private boolean addCrash(SortedSet<Integer> crashes, int run, Run.Crash crash) {
        boolean added = add(crashes, run);
        if (added) {
            crashShare += crash.share();
        }
        return added;
    }

    /**
     * Returns the shares of the crashes under the task that fall to it, in sum; without the crashes
     * that an earlier holder saw.
     */
    double crashShare() {
        return crashShare;
    }

    /**
     * Records that a run was lost with a worker that may have crashed or have been cut off. It is
     * no crash, but the starts of a task that crashes its workers have a limit.
     */
    void recordUnexplainedLoss(int run) {
        if (isSuspect()) {
            add(unexplained, run);
        }
    }

    private static boolean add(SortedSet<Integer> runs, int run) {
        boolean added = runs.add(run);
        if (runs.size() > MAX_KEPT_CRASHES) {
            runs.removeFirst();
        }
        return added;
    }

    /** Restores what an earlier holder stored. */
    void restore(TaskCrashes stored) {
        confirmed.addAll(stored.confirmed());
        alone.addAll(stored.alone());
        unconfirmed.addAll(stored.unconfirmed());
        storedCrashes.addAll(confirmed);
        storedCrashes.addAll(unconfirmed);
    }

    /**
     * Returns what is to be stored.
     *
     * @param started the open runs of the task
     */
    TaskCrashes toStored(List<StartedRun> started) {
        return new TaskCrashes(
                List.copyOf(confirmed),
                List.copyOf(alone),
                List.copyOf(unconfirmed),
                isSuspect() ? started : List.of());
    }

    /** Forgets all crashes. */
    void clear() {
        confirmed.clear();
        alone.clear();
        unconfirmed.clear();
        unexplained.clear();
        crashShare = 0;
        storedCrashes.clear();
        vms.clear();
    }

    /** Returns the number of the runs under which workers surely crashed. */
    int count() {
        return confirmed.size();
    }

    /** Returns the number of the runs that a crashed worker had not confirmed. */
    int unconfirmedCount() {
        return unconfirmed.size();
    }

    boolean isEmpty() {
        return confirmed.isEmpty() && unconfirmed.isEmpty();
    }

    /** Returns whether a worker has crashed under the task, or may have. */
    boolean isSuspect() {
        return !isEmpty();
    }

    /** Returns whether the task must start alone on its worker. */
    boolean needsIsolation() {
        return confirmed.size() + unconfirmed.size() >= CRASHES_BEFORE_ISOLATION;
    }

    /** Records on which VM a worker crashed. */
    void recordVm(String vm) {
        if (vms.size() < MAX_KEPT_CRASHES) {
            vms.add(vm);
        }
    }

    /** Returns whether a worker of a VM has crashed under the task, or may have. */
    boolean hasCrashedOn(String vm) {
        return vms.contains(vm);
    }

    /**
     * Returns whether the task must not be started again.
     *
     * @param crashesBeyondChance how many crashes in a row chance hardly brings to a task
     */
    boolean isExhausted(int crashesBeyondChance) {
        int crashes = confirmed.size() + unconfirmed.size();
        if (longRunning) {
            return crashes >= MAX_CRASHES_OF_SERVICES
                    && alone.size() >= MIN_CRASHES_ALONE_OF_SERVICES;
        }
        int enough = Math.max(MAX_CRASHES, crashesBeyondChance) + (wasAloneAtLastCrash() ? 0 : 1);
        int limit = Math.max(MAX_CRASHES, MAX_CRASHES_BY_CHANCE - unexplained.size());
        return confirmed.size() >= MIN_CONFIRMED_CRASHES && crashes >= Math.min(enough, limit);
    }

    private boolean wasAloneAtLastCrash() {
        if (confirmed.isEmpty()) {
            return false;
        }
        boolean lastIsConfirmed = unconfirmed.isEmpty() || unconfirmed.last() < confirmed.last();
        return lastIsConfirmed && alone.contains(confirmed.last());
    }

    /**
     * Returns whether a new holder would know all crashes, and that a run was started, so that it
     * notices a crash that this holder does not live to see.
     *
     * @param run the number of the run
     */
    boolean isStartStored(int run) {
        return !isSuspect()
                || (storedCrashes.containsAll(confirmed)
                        && storedCrashes.containsAll(unconfirmed)
                        && storedStarts.contains(run));
    }

    /** Records what is stored of this task. */
    void markStored(TaskCrashes stored) {
        storedCrashes.clear();
        storedCrashes.addAll(stored.confirmed());
        storedCrashes.addAll(stored.unconfirmed());
        storedStarts.clear();
        stored.started().forEach(r -> storedStarts.add(r.run()));
    }
}
