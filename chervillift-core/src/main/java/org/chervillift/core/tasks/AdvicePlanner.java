package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Decides for which step the advice service is asked next, and about which workers.
 *
 * <p>The service answers one request at a time, so jobs are served in the order of their arrival. A
 * step whose last request failed comes after those that have not failed.
 */
public final class AdvicePlanner {

    private final JobTable jobs;
    private final Collection<JobEntry> liveJobs;
    private final Collection<WorkerRecord> workers;

    AdvicePlanner(JobTable jobs, Collection<JobEntry> liveJobs, Collection<WorkerRecord> workers) {
        this.jobs = jobs;
        this.liveJobs = liveJobs;
        this.workers = workers;
    }

    /** Returns the next request, if a step waits for tickets. */
    public Optional<AdviceRequest> nextRequest(long now) {
        return stepsToAskAbout(now)
                .filter(s -> !s.advice().hasFailed())
                .findFirst()
                .or(() -> failedLongestAgo(stepsToAskAbout(now)))
                .map(s -> requestFor(s, poolOf(s.job()), now));
    }

    /** Records that a request failed, so that others go first. */
    public void recordFailure(AdviceRequest request, long now) {
        stepOf(request).ifPresent(s -> s.advice().recordFailure(now));
    }

    /**
     * Applies an answer.
     *
     * @param tickets the tickets of the workers that may run the step, by worker
     * @param validUntil when they expire, in milliseconds
     */
    public void applyAnswer(AdviceRequest request, Map<String, String> tickets, long validUntil) {
        stepOf(request)
                .ifPresent(s -> s.advice().applyAnswer(request.workers(), tickets, validUntil));
    }

    private Optional<StepEntry> stepOf(AdviceRequest request) {
        return jobs.findLoaded(request.job())
                .map(j -> j.step(request.occurrence(), request.step()));
    }

    private static Optional<StepEntry> failedLongestAgo(Stream<StepEntry> steps) {
        return steps.min(Comparator.comparingLong(s -> s.advice().failedAt()));
    }

    private Stream<StepEntry> stepsToAskAbout(long now) {
        return liveJobs.stream()
                .filter(j -> j.policy().advised())
                .flatMap(j -> stepsToAskAbout(j, poolOf(j), now));
    }

    private List<WorkerRecord> poolOf(JobEntry job) {
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
