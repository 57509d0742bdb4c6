package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.tasks.StepSpec;

/** The scheduler's state of one occurrence of a step. */
final class StepEntry {

    private final JobEntry job;
    private final int occurrence;
    private final int number;
    private final StepSpec spec;
    private final List<TaskEntry> tasks;
    private final StepAdvice advice = new StepAdvice();
    private final BegunPools begunPools = new BegunPools();
    private int doneCount;

    StepEntry(JobEntry job, int occurrence, int number, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new ArrayList<>(spec.count());
        for (int i = 0; i < spec.count(); i++) {
            tasks.add(new TaskEntry(this, i));
        }
    }

    JobEntry job() {
        return job;
    }

    int occurrence() {
        return occurrence;
    }

    int number() {
        return number;
    }

    StepSpec spec() {
        return spec;
    }

    List<TaskEntry> tasks() {
        return tasks;
    }

    StepAdvice advice() {
        return advice;
    }

    /** Forgets what is known of a worker that has left the fleet. */
    void forgetWorker(String worker) {
        advice.forgetWorker(worker);
        tasks.forEach(t -> t.failedWorkers().remove(worker));
    }

    /** Returns the pools in which tasks of this step may have been started. */
    BegunPools begunPools() {
        return begunPools;
    }

    long waitingCount() {
        return tasks.stream().filter(TaskEntry::isWaiting).count();
    }

    boolean isDone() {
        return doneCount == tasks.size();
    }

    /** Marks a task as done; returns false if it was done before. */
    boolean markDone(TaskEntry task) {
        if (task.isDone()) {
            return false;
        }
        task.markDone();
        doneCount++;
        return true;
    }

    /** Returns whether all steps that this one depends on are done. */
    boolean isReady() {
        return spec.after().stream().allMatch(n -> job.step(occurrence, n).isDone());
    }

    /** Returns how many runs of this step are open on a worker. */
    long runsOn(WorkerRecord worker) {
        return worker.runs().stream().filter(r -> r.task().step() == this).count();
    }

    /** Returns how many runs of this step are open in a rack. */
    long runsInRack(String rack) {
        return tasks.stream()
                .flatMap(t -> t.runs().stream())
                .filter(r -> r.worker().rack().equals(rack))
                .count();
    }

    /** Returns whether stopping a run leaves no more tasks of the step down than allowed. */
    boolean canStopOneMore(Run run) {
        if (spec.mayMiss() == 0) {
            return true;
        }
        long othersDown = tasks.stream().filter(t -> t != run.task() && !isFullyRunning(t)).count();
        return othersDown < spec.mayMiss();
    }

    /** Returns the number of tasks that have no run, or whose run is being stopped. */
    long countNotRunning() {
        return tasks.stream()
                .filter(t -> t.runs().stream().allMatch(r -> r.phase() == Run.Phase.STOPPING))
                .count();
    }

    /** Returns whether a task has a run on a reachable worker that reports 100 percent. */
    static boolean isFullyRunning(TaskEntry task) {
        return task.runs().stream()
                .anyMatch(
                        r ->
                                r.phase() == Run.Phase.RUNNING
                                        && r.progressPercent() >= 100
                                        && r.worker().isReachable());
    }
}
