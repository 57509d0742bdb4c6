package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Decides for which step the advice service is asked next, and about which workers.
 *
 * <p>The service answers one request at a time, so jobs are served in the order of their arrival.
 */
final class AdvicePlanner {

    private AdvicePlanner() {}

    /** Returns the next request, if a step waits for tickets. */
    static Optional<AdviceRequest> nextRequest(
            Collection<JobEntry> liveJobs, Collection<WorkerRecord> workers, long now) {
        return liveJobs.stream()
                .filter(j -> j.policy().advised())
                .flatMap(j -> nextRequestOf(j, workers, now).stream())
                .findFirst();
    }

    private static Optional<AdviceRequest> nextRequestOf(
            JobEntry job, Collection<WorkerRecord> workers, long now) {
        List<WorkerRecord> pool =
                workers.stream().filter(w -> w.pool().equals(job.policy().pool())).toList();
        return job.steps()
                .filter(s -> !s.isDone() && s.isReady())
                .filter(s -> s.advice().needsTickets(pool, s.tasks().waitingCount(), now))
                .filter(s -> !s.advice().nextWorkersToAsk(pool, now).isEmpty())
                .findFirst()
                .map(s -> requestFor(s, pool, now));
    }

    private static AdviceRequest requestFor(StepEntry step, List<WorkerRecord> pool, long now) {
        return new AdviceRequest(
                step.job().id(),
                step.occurrence(),
                step.number(),
                step.advice().nextWorkersToAsk(pool, now));
    }
}
