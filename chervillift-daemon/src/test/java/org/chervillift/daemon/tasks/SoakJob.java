package org.chervillift.daemon.tasks;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.chervillift.api.tasks.JobSpec;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.RunEnd;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;

/** A job of the load, with what the workers and the callers have seen of it. */
final class SoakJob {

    private static final int CRASHES_THAT_MAY_FAIL_A_JOB = 3;

    private final JobSpec spec;
    private final String queue;
    private final String key;
    private final long taskMillis;
    private final boolean hopeless;
    private final Set<TaskId> done = new HashSet<>();
    private final Map<TaskId, Integer> failures = new HashMap<>();
    private final Map<TaskId, Integer> crashes = new HashMap<>();
    private final Set<TaskId> notedDone = new HashSet<>();
    private int failuresOfEachTask;
    private boolean accepted;
    private boolean refused;
    private boolean started;
    private boolean cancelSent;

    /**
     * Creates a job that nobody has handed in yet.
     *
     * @param taskMillis how long a run takes
     * @param hopeless whether each run of its first task fails
     */
    SoakJob(JobSpec spec, String queue, String key, long taskMillis, boolean hopeless) {
        this.spec = spec;
        this.queue = queue;
        this.key = key;
        this.taskMillis = taskMillis;
        this.hopeless = hopeless;
    }

    /** Lets the first runs of each task fail. */
    SoakJob failingFirst(int failuresOfEach) {
        failuresOfEachTask = failuresOfEach;
        return this;
    }

    /** Returns whether the next run of a task fails by the task's own fault. */
    boolean failsNext(TaskId task) {
        return (hopeless && task.index() % 2 == 0)
                || failures.getOrDefault(task, 0) < failuresOfEachTask;
    }

    JobSpec spec() {
        return spec;
    }

    String id() {
        return spec.id();
    }

    String queue() {
        return queue;
    }

    String key() {
        return key;
    }

    long taskMillis() {
        return taskMillis;
    }

    StepSpec step(TaskId task) {
        return spec.steps().get(task.step());
    }

    Resources request(TaskId task) {
        return step(task).footprint();
    }

    void accepted() {
        accepted = true;
    }

    /** Records that the caller was told that the job has not run and will not run. */
    void refused() {
        refused = true;
    }

    boolean isRefused() {
        return refused;
    }

    void started() {
        started = true;
    }

    boolean hasStarted() {
        return started;
    }

    boolean isAccepted() {
        return accepted;
    }

    void cancelSent() {
        cancelSent = true;
    }

    boolean isCancelSent() {
        return cancelSent;
    }

    boolean isService() {
        return spec.steps().get(0).longRunning();
    }

    void ended(TaskId task, RunEnd end) {
        if (end == RunEnd.DONE) {
            done.add(task);
        } else if (end == RunEnd.FAILED) {
            failures.merge(task, 1, Integer::sum);
        }
    }

    /** Records that a worker was told that an end need not be reported again. */
    void noted(TaskId task, RunEnd end) {
        if (end == RunEnd.DONE) {
            notedDone.add(task);
        }
    }

    boolean isNotedDone(TaskId task) {
        return notedDone.contains(task);
    }

    void crashed(TaskId task) {
        crashes.merge(task, 1, Integer::sum);
    }

    /** Returns whether the job may be told as failed. */
    boolean mayHaveFailed(int maxAttempts) {
        return failures.values().stream().anyMatch(n -> n >= maxAttempts)
                || crashes.values().stream().anyMatch(n -> n >= CRASHES_THAT_MAY_FAIL_A_JOB);
    }

    boolean isDone() {
        for (int o = 0; o < spec.schedule().occurrences(); o++) {
            for (int s = 0; s < spec.steps().size(); s++) {
                if (!isDone(o, s)) {
                    return false;
                }
            }
        }
        return true;
    }

    private boolean isDone(int occurrence, int step) {
        StepSpec spec1 = spec.steps().get(step);
        long count = 0;
        for (int i = 0; i < spec1.count(); i++) {
            count += done.contains(new TaskId(id(), occurrence, step, i)) ? 1 : 0;
        }
        return spec1.gang() ? count > 0 : count == spec1.count();
    }

    /** Returns the first step of which a task could start now; -1 if there is none. */
    int startableStep() {
        for (int o = 0; o < spec.schedule().occurrences(); o++) {
            for (int s = 0; s < spec.steps().size(); s++) {
                int occurrence = o;
                boolean ready =
                        spec.steps().get(s).after().stream().allMatch(a -> isDone(occurrence, a));
                if (ready && !isDone(o, s)) {
                    return s;
                }
            }
        }
        return -1;
    }
}
