package org.chervillift.daemon.tasks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.api.tasks.JobAnswer;
import org.chervillift.api.tasks.JobRequest;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;

/**
 * Checks from outside that work goes on: it uses only what workers run and callers are told.
 *
 * <p>In a calm spell no job may have nothing running for 3 s while its pool has room for it twice
 * over and its customer has under half of its limit. No task may start in a data centre that has
 * been evacuated for longer than the bound. At the end each accepted job is completed, or has
 * rightly failed or been cancelled.
 */
final class SoakCheck {

    private static final Duration ANSWER_TIME = Duration.ofSeconds(2);
    private static final long MIN_CALM_MILLIS = 4_000;
    private static final long MAX_STANDSTILL_MILLIS = 3_000;
    private static final long MAX_SERVICE_GAP_MILLIS = 6_000;

    private final SoakWorld world;
    private final SoakLoad load;
    private final Map<String, Long> standingSince = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    SoakCheck(SoakWorld world, SoakLoad load) {
        this.world = world;
        this.load = load;
    }

    /** Returns all that has been wrong, after a last look at each job. */
    List<String> violationsAtEnd() {
        List<String> all = new ArrayList<>(violations);
        List<String> wrong = lookAtEnds();
        world.base.advance(ANSWER_TIME);
        all.addAll(wrong);
        all.addAll(world.fleet.repeatedStarts());
        all.addAll(world.fleet.startsAfterEvacuation());
        world.faults.forEach(f -> all.add("a callback threw " + f));
        return all;
    }

    /** Looks at all jobs once. */
    void look(long calmMillis) {
        if (calmMillis < MIN_CALM_MILLIS) {
            standingSince.clear();
            return;
        }
        Map<String, Long> usage = usageByCustomer();
        for (SoakJob job : load.jobs()) {
            if (job.isAccepted() && !job.isCancelSent()) {
                look(job, usage);
            }
        }
    }

    private void look(SoakJob job, Map<String, Long> usage) {
        int step = job.isService() ? missingServiceStep(job) : job.startableStep();
        boolean stands =
                step >= 0
                        && !job.mayHaveFailed(SoakWorld.MAX_ATTEMPTS)
                        && (job.isService() || !isRunning(job))
                        && couldStart(job, job.spec().steps().get(step), usage);
        if (!stands) {
            standingSince.remove(job.id());
            return;
        }
        long since = standingSince.computeIfAbsent(job.id(), i -> world.now());
        long bound = job.isService() ? MAX_SERVICE_GAP_MILLIS : MAX_STANDSTILL_MILLIS;
        if (world.now() - since > bound) {
            violations.add(
                    world.now() + " job " + job.id() + " of " + job.queue() + " stands still");
            standingSince.remove(job.id());
        }
    }

    private int missingServiceStep(SoakJob job) {
        int count = job.spec().steps().get(0).count();
        for (int i = 0; i < count; i++) {
            TaskId task = new TaskId(job.id(), 0, 0, i);
            if (world.fleet.liveWorkers().stream().noneMatch(w -> w.isRunning(task))) {
                return 0;
            }
        }
        return -1;
    }

    private boolean isRunning(SoakJob job) {
        return world.fleet.liveWorkers().stream().anyMatch(w -> w.isRunning(job.id()));
    }

    /** Returns whether pool and limit leave twice the room that a step needs to go on. */
    private boolean couldStart(SoakJob job, StepSpec step, Map<String, Long> usage) {
        String pool = world.poolByQueue.get(job.queue());
        Resources request = step.footprint();
        long capacity = 0;
        long used = 0;
        long places = 0;
        for (SoakWorker worker : world.fleet.liveWorkers()) {
            if (worker.entry().pool().equals(pool) && worker.isSound()) {
                long free = worker.entry().capacity().minus(worker.used()).milliCores();
                capacity += worker.entry().capacity().milliCores();
                used += worker.used().milliCores();
                places += free / Math.max(1, request.milliCores());
            }
        }
        int needed = step.gang() ? step.count() : 1;
        String customer = job.key().substring(1);
        long limit = world.limit(customer).milliCores();
        long own = usage.getOrDefault(customer, 0L);
        boolean withinLimit =
                limit == 0 || (own < limit / 2 && own + needed * request.milliCores() <= limit);
        return places >= 2L * needed && used < capacity / 2 && withinLimit;
    }

    private Map<String, Long> usageByCustomer() {
        Map<String, Long> usage = new HashMap<>();
        for (SoakWorker worker : world.fleet.liveWorkers()) {
            worker.runs()
                    .keySet()
                    .forEach(
                            t ->
                                    usage.merge(
                                            world.fleet.job(t).key().substring(1),
                                            world.fleet.request(t).milliCores(),
                                            Long::sum));
        }
        return usage;
    }

    /** Asks for each accepted job, and returns what is wrong. */
    private List<String> lookAtEnds() {
        List<String> wrong = new ArrayList<>();
        for (SoakJob job : load.jobs()) {
            if (job.isAccepted()) {
                world.awakeNodes()
                        .get(0)
                        .node()
                        .answer(SoakLoad.request(JobRequest.Action.READ, job))
                        .whenComplete((a, fault) -> lookAtEnd(job, a, wrong));
            }
        }
        return wrong;
    }

    private void lookAtEnd(SoakJob job, JobAnswer answer, List<String> wrong) {
        if (!(answer instanceof JobAnswer.State s)) {
            wrong.add("job " + job.id() + ": " + answer);
            return;
        }
        JobState state = s.status().state();
        boolean right =
                switch (state) {
                    case COMPLETED -> job.isDone();
                    case CANCELLED -> job.isCancelSent();
                    case FAILED -> job.mayHaveFailed(SoakWorld.MAX_ATTEMPTS);
                    case RUNNING -> job.isService() && missingServiceStep(job) < 0;
                    case QUEUED -> false;
                };
        if (!right) {
            wrong.add(
                    "job "
                            + job.id()
                            + " of "
                            + job.queue()
                            + " is "
                            + state
                            + " "
                            + s.status().failure()
                            + " done="
                            + job.isDone());
        }
    }
}
