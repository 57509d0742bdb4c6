package org.chervillift.core.tasks;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;

/** Changes the states of jobs, and records which progress must be stored again. */
final class JobLifecycle {

    private final Set<JobEntry> liveJobs;
    private final Consumer<SchedulerEvent> events;
    private final ProgressChanges changes;
    private final CrashRate crashRate = new CrashRate();

    JobLifecycle(Set<JobEntry> liveJobs, ProgressChanges changes, Consumer<SchedulerEvent> events) {
        this.liveJobs = liveJobs;
        this.changes = changes;
        this.events = events;
    }

    void markStarted(JobEntry job) {
        if (job.state() == JobState.QUEUED) {
            job.state(JobState.RUNNING);
        }
    }

    void taskDone(TaskEntry task, long now) {
        StepEntry step = task.step();
        JobEntry job = step.job();
        if (job.state().isFinal()) {
            return;
        }
        CrashHistory crashes = task.crashes();
        crashRate.recordDone(crashes.count() + crashes.unconfirmedCount(), crashes.crashShare());
        if (step.spec().gang()) {
            step.markAllDone();
        } else {
            step.tasks().markDone(task.index());
        }
        changes.stepChanged(step);
        task.runs().forEach(r -> r.enterPhase(Run.Phase.STOPPING, now));
        if (step.isDone()) {
            markFollowersReady(step);
        }
        if (job.isDone()) {
            end(job, JobState.COMPLETED, now);
        } else if (step.isDone() && job.condenseDoneOccurrences()) {
            changes.occurrencesCondensed(job);
        }
    }

    private static void markFollowersReady(StepEntry step) {
        step.job().occurrence(step.occurrence()).stream()
                .filter(s -> s.spec().after().contains(step.number()) && s.isReady())
                .forEach(s -> s.rackWait().markReady());
    }

    void taskFailed(TaskEntry task, int run, long now) {
        JobEntry job = task.step().job();
        if (job.state().isFinal() || task.isDone() || !task.failedRuns().add(run)) {
            return;
        }
        changes.taskChanged(task);
        if (task.failedRuns().count() >= job.policy().maxAttempts()) {
            fail(task, JobFailure.Cause.RUN_FAILED, task.failedRuns().count(), now);
        }
    }

    /**
     * Counts a worker that surely crashed under a run; the job fails once there are too many.
     *
     * @param crash the crash as seen from the run
     */
    void workerCrashed(TaskEntry task, int run, Run.Crash crash, long now) {
        JobEntry job = task.step().job();
        if (!job.state().isFinal() && !task.isDone() && task.crashes().record(run, crash)) {
            onCrashRecorded(task, now);
        }
    }

    /** Counts a worker that crashed when a run may have begun on it, or not. */
    void workerCrashedUnconfirmed(TaskEntry task, int run, Run.Crash crash, long now) {
        JobEntry job = task.step().job();
        if (!job.state().isFinal()
                && !task.isDone()
                && task.crashes().recordUnconfirmed(run, crash)) {
            onCrashRecorded(task, now);
        }
    }

    private void onCrashRecorded(TaskEntry task, long now) {
        changes.taskChanged(task);
        if (task.crashes().isExhausted(crashRate.crashesBeyondChance())) {
            fail(task, JobFailure.Cause.WORKER_CRASHED, task.crashes().count(), now);
        }
    }

    /** Forgets the crashes of a task that has shown that it does not cause them. */
    void clearCrashes(TaskEntry task) {
        if (!task.crashes().isEmpty()) {
            task.crashes().clear();
            changes.taskChanged(task);
        }
    }

    /** Forgets what is known of a worker that has left the fleet, or has begun a new lifetime. */
    void forgetWorker(String worker) {
        liveJobs.stream().flatMap(JobEntry::steps).forEach(s -> s.forgetWorker(worker));
    }

    void cancel(JobEntry job, long now) {
        if (!job.state().isFinal()) {
            end(job, JobState.CANCELLED, now);
        }
    }

    private void fail(TaskEntry task, JobFailure.Cause cause, int runs, long now) {
        fail(task.step().job(), new JobFailure(cause, task.id().toString(), runs), now);
    }

    /** Ends a job as failed. */
    void fail(JobEntry job, JobFailure reason, long now) {
        job.failure(Optional.of(reason));
        end(job, JobState.FAILED, now);
    }

    /** Restores the final state of a job that an earlier holder ended and stored. */
    void restoreEnd(JobEntry job, JobProgress progress) {
        job.state(progress.state());
        job.failure(progress.failure());
        liveJobs.remove(job);
    }

    private void end(JobEntry job, JobState state, long now) {
        job.state(state);
        liveJobs.remove(job);
        changes.jobEnded(job);
        job.steps().flatMap(StepEntry::runs).forEach(r -> r.enterPhase(Run.Phase.STOPPING, now));
        job.dropUnneeded();
        events.accept(
                new SchedulerEvent(
                        SchedulerEvent.Kind.FINAL,
                        job.id(),
                        job.failure().map(JobFailure::task).orElse(""),
                        "",
                        "state=" + state + job.failure().map(JobLifecycle::inputs).orElse("")));
    }

    private static String inputs(JobFailure failure) {
        return " cause=" + failure.cause() + " runs=" + failure.runs();
    }
}
