package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import org.chervillift.api.tasks.TaskId;

/** The scheduler's state of one task. */
final class TaskEntry {

    private static final int MAX_SKIP_SHIFT = 20;

    private final StepEntry step;
    private final int index;
    private final List<Run> runs = new ArrayList<>(1);
    private final FailedRuns failedRuns = new FailedRuns();
    private final CrashHistory crashes;
    private final Set<String> failedWorkers = new HashSet<>();
    private int lastRunNumber;
    private int tooOldCount;
    private int stallCount;
    private int preemptionCount;
    private boolean copied;
    private String checkpoint = "";
    private long notBefore = Long.MIN_VALUE;

    TaskEntry(StepEntry step, int index) {
        this.step = step;
        this.index = index;
        this.crashes = new CrashHistory(step.spec().longRunning());
    }

    StepEntry step() {
        return step;
    }

    int index() {
        return index;
    }

    TaskId id() {
        return new TaskId(step.job().id(), step.occurrence(), step.number(), index);
    }

    List<Run> runs() {
        return runs;
    }

    Optional<Run> run(int number, WorkerRecord worker) {
        return runs.stream().filter(r -> r.number() == number && r.worker() == worker).findFirst();
    }

    boolean isDone() {
        return step.tasks().isDone(index);
    }

    /** Returns whether the task is not done and has no open run. */
    boolean isWaiting() {
        return runs.isEmpty() && !isDone();
    }

    /** Returns the runs that failed. */
    FailedRuns failedRuns() {
        return failedRuns;
    }

    /** Returns the runs whose workers crashed. */
    CrashHistory crashes() {
        return crashes;
    }

    Set<String> failedWorkers() {
        return failedWorkers;
    }

    /**
     * Restores the failed and crashed runs that an earlier holder stored.
     *
     * @param numbers the run numbers that earlier holders may have given; earlier releases also
     *     stored others, which workers had reported
     */
    void restore(JobProgress.TaskFailures stored, RunNumbers numbers) {
        failedRuns.addAll(stored.runs());
        crashes.restore(stored.crashes());
        JobProgress.TaskCrashes crashed = stored.crashes();
        Stream.of(
                        stored.runs().stream(),
                        crashed.confirmed().stream(),
                        crashed.unconfirmed().stream(),
                        crashed.started().stream().map(JobProgress.StartedRun::run))
                .flatMap(Function.identity())
                .filter(numbers::mayBeGiven)
                .forEach(this::recordRunNumber);
    }

    int lastRunNumber() {
        return lastRunNumber;
    }

    void recordRunNumber(int number) {
        lastRunNumber = Math.max(lastRunNumber, number);
    }

    /**
     * Skips run numbers after a worker has refused one as too old: twice as many each time, since
     * it is not known how many an earlier holder used.
     */
    void skipRunNumbers(int highest) {
        long skipped = 1L << Math.min(tooOldCount, MAX_SKIP_SHIFT);
        tooOldCount++;
        recordRunNumber((int) Math.min(lastRunNumber + skipped, highest));
    }

    /** Records that a worker has taken the last run number. */
    void runNumberTaken() {
        tooOldCount = 0;
    }

    /** Returns how many runs were stopped because they made no progress. */
    int stallCount() {
        return stallCount;
    }

    void recordStall() {
        stallCount++;
    }

    /** Returns how many runs this holder stopped for urgent tasks. */
    int preemptionCount() {
        return preemptionCount;
    }

    void recordPreemption() {
        preemptionCount++;
    }

    /** Returns whether this holder has started a copy beside another run. */
    boolean wasCopied() {
        return copied;
    }

    void markCopied() {
        copied = true;
    }

    String checkpoint() {
        return checkpoint;
    }

    /** Updates the saved progress unless it is empty; returns whether it is new. */
    boolean updateCheckpoint(String newest) {
        boolean changed = !newest.isEmpty() && !newest.equals(checkpoint);
        checkpoint = changed ? newest : checkpoint;
        return changed;
    }

    /** Returns the earliest time at which the task may be started again, in milliseconds. */
    long notBefore() {
        return notBefore;
    }

    void delayUntil(long time) {
        notBefore = time;
    }
}
