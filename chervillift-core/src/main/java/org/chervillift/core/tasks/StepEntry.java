package org.chervillift.core.tasks;

import java.util.stream.Stream;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.JobProgress.IndexRange;

/** The scheduler's state of one occurrence of a step. */
final class StepEntry {

    private final JobEntry job;
    private final int occurrence;
    private final int number;
    private final StepSpec spec;
    private final StepTasks tasks;
    private final StepAdvice advice = new StepAdvice();
    private final BegunPools begunPools = new BegunPools();
    private final RackWaitState rackWait = new RackWaitState();

    StepEntry(JobEntry job, int occurrence, int number, StepSpec spec) {
        this.job = job;
        this.occurrence = occurrence;
        this.number = number;
        this.spec = spec;
        this.tasks = new StepTasks(this, spec.count());
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

    StepTasks tasks() {
        return tasks;
    }

    StepAdvice advice() {
        return advice;
    }

    /** Forgets what is known of a worker that has left the fleet, or has begun a new lifetime. */
    void forgetWorker(String worker) {
        advice.forgetWorker(worker);
        tasks.kept().forEach(t -> t.failedWorkers().remove(worker));
    }

    /** Returns the pools in which tasks of this step may have been started. */
    BegunPools begunPools() {
        return begunPools;
    }

    /** Returns when the step began to wait for a place in a rack. */
    RackWaitState rackWait() {
        return rackWait;
    }

    boolean isDone() {
        return tasks.allDone();
    }

    void markAllDone() {
        tasks.markDone(new IndexRange(0, tasks.count() - 1));
    }

    /** Returns whether all steps that this one depends on are done. */
    boolean isReady() {
        return spec.after().stream().allMatch(n -> job.step(occurrence, n).isDone());
    }

    /** Returns the open runs of this step. */
    Stream<Run> runs() {
        return tasks.kept().stream().flatMap(t -> t.runs().stream());
    }

    /** Returns how many runs of this step are open on a worker. */
    long runsOn(WorkerRecord worker) {
        return worker.runs().stream().filter(r -> r.task().step() == this).count();
    }

    /** Returns how many runs of this step are open in a rack. */
    long runsInRack(String rack) {
        return runs().filter(r -> r.worker().rack().equals(rack)).count();
    }

    /** Returns whether stopping a run leaves no more tasks of the step down than allowed. */
    boolean canStopOneMore(Run run) {
        if (spec.mayMiss() == 0) {
            return true;
        }
        long othersRunning =
                tasks.kept().stream().filter(t -> t != run.task() && isFullyRunning(t)).count();
        return tasks.count() - 1 - othersRunning < spec.mayMiss();
    }

    /** Returns the number of tasks that have no run, or whose run is being stopped. */
    long countNotRunning() {
        long running =
                tasks.kept().stream()
                        .filter(
                                t ->
                                        t.runs().stream()
                                                .anyMatch(r -> r.phase() != Run.Phase.STOPPING))
                        .count();
        return tasks.count() - running;
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
