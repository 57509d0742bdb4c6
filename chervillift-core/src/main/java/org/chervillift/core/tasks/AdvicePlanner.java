package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides for which step the advice service is asked next, and about which workers.
 *
 * <p>The service answers one request at a time, so jobs are served in the order of their arrival. A
 * step whose last request failed comes after those that have not failed.
 */
final class AdvicePlanner {

    private AdvicePlanner() {}

    /** Returns the next request, if a step waits for tickets. */
    static Optional<AdviceRequest> nextRequest(
            Collection<JobEntry> liveJobs, Collection<WorkerRecord> workers, long now) {
        return stepsToAskAbout(liveJobs, workers, now)
                .filter(s -> !s.advice().hasFailed())
                .findFirst()
                .or(() -> failedLongestAgo(stepsToAskAbout(liveJobs, workers, now)))
                .map(s -> requestFor(s, poolOf(s.job(), workers), now));
    }

    private static Optional<StepEntry> failedLongestAgo(Stream<StepEntry> steps) {
        return steps.min(Comparator.comparingLong(s -> s.advice().failedAt()));
    }

    private static Stream<StepEntry> stepsToAskAbout(
            Collection<JobEntry> liveJobs, Collection<WorkerRecord> workers, long now) {
        return liveJobs.stream()
                .filter(j -> j.policy().advised())
                .flatMap(j -> stepsToAskAbout(j, poolOf(j, workers), now));
    }

    private static List<WorkerRecord> poolOf(JobEntry job, Collection<WorkerRecord> workers) {
        return workers.stream().filter(w -> w.pool().equals(job.policy().pool())).toList();
    }

    private static Stream<StepEntry> stepsToAskAbout(
            JobEntry job, List<WorkerRecord> pool, long now) {
        return job.steps()
                .filter(s -> !s.isDone() && s.isReady())
                .filter(s -> s.advice().needsTickets(pool, s.tasks().waitingCount(), now))
                .filter(s -> !s.advice().nextWorkersToAsk(pool, now).isEmpty())
                .limit(1);
    }

    private static AdviceRequest requestFor(StepEntry step, List<WorkerRecord> pool, long now) {
        return new AdviceRequest(
                step.job().id(),
                step.occurrence(),
                step.number(),
                step.advice().nextWorkersToAsk(pool, now));
    }
}
