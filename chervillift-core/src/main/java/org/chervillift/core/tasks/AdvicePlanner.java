package org.chervillift.core.tasks;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.chervillift.api.tasks.Manifest;

/**
 * Decides for which step the advice service is asked next, and about which workers.
 *
 * <p>The service answers one request at a time. So it is first asked about workers on which a task
 * could start as soon as it is allowed there, by the same conditions as those of the planner of
 * starts. Only then is it asked ahead, about workers that may have room later. Within each of the
 * two, jobs are served in the order of their arrival; a step whose last request has just failed
 * comes after the others.
 */
public final class AdvicePlanner {

    /** The service takes longer for more workers; a first task need not wait for all of them. */
    private static final int USUAL_WORKERS_PER_REQUEST = 12;

    /** The service takes no more workers in a request. */
    private static final int MAX_WORKERS_PER_REQUEST = 100;

    private final JobTable jobs;
    private final Collection<JobEntry> liveJobs;
    private final Collection<WorkerRecord> workers;
    private final StartPlanner starts;
    private final Supplier<Manifest> manifest;

    /**
     * Workers that the service may be asked about for a step.
     *
     * @param startsNow whether a task could start on one of them as soon as it is allowed there
     * @param hasJustFailed whether the last request about the step failed a short time ago
     */
    private record Question(
            StepEntry step, List<WorkerRecord> workers, boolean startsNow, boolean hasJustFailed) {

        private static final Comparator<Question> ORDER =
                Comparator.comparing(Question::hasJustFailed)
                        .thenComparing(Question::startsNow, Comparator.reverseOrder())
                        .thenComparingLong(Question::failedAt);

        /** Returns when the request failed, if that is a short time ago; the oldest goes first. */
        long failedAt() {
            return hasJustFailed ? step.advice().failedAt() : 0;
        }

        boolean isFirst() {
            return startsNow && !hasJustFailed;
        }
    }

    AdvicePlanner(
            JobTable jobs,
            Collection<JobEntry> liveJobs,
            Collection<WorkerRecord> workers,
            StartPlanner starts,
            Supplier<Manifest> manifest) {
        this.jobs = jobs;
        this.liveJobs = liveJobs;
        this.workers = workers;
        this.starts = starts;
        this.manifest = manifest;
    }

    /** Returns the next request, if a step waits for tickets. */
    public Optional<AdviceRequest> nextRequest(long now) {
        Map<String, List<WorkerRecord>> pools =
                workers.stream().collect(Collectors.groupingBy(WorkerRecord::pool));
        Optional<Question> best = Optional.empty();
        for (JobEntry job : liveJobs) {
            if (!job.policy().advised()) {
                continue;
            }
            List<WorkerRecord> pool = pools.getOrDefault(job.policy().pool(), List.of());
            Stream<Question> found = job.steps().flatMap(s -> question(s, pool, now).stream());
            best = Stream.concat(best.stream(), found).min(Question.ORDER);
            if (best.filter(Question::isFirst).isPresent()) {
                break;
            }
        }
        return best.map(AdvicePlanner::toRequest);
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
    public void applyAnswer(
            AdviceRequest request, Map<String, String> tickets, long validUntil, long now) {
        stepOf(request)
                .ifPresent(
                        s -> s.advice().applyAnswer(request.workers(), tickets, validUntil, now));
    }

    private Optional<StepEntry> stepOf(AdviceRequest request) {
        return jobs.findLoaded(request.job())
                .map(j -> j.step(request.occurrence(), request.step()));
    }

    private Optional<Question> question(StepEntry step, List<WorkerRecord> pool, long now) {
        int wanted = step.isDone() || !step.isReady() ? 0 : placesWanted(step);
        if (wanted == 0) {
            return Optional.empty();
        }
        List<WorkerRecord> notRefused =
                pool.stream().filter(w -> !step.advice().isRefused(w.id())).toList();
        return questionForNow(step, wanted, notRefused, now)
                .or(() -> questionAhead(step, wanted, notRefused, now));
    }

    /** Returns how many tasks wait, or have to leave their workers. */
    private static int placesWanted(StepEntry step) {
        long leaving =
                step.runs()
                        .map(Run::worker)
                        .filter(w -> w.isEndExpected() || w.isEvacuated())
                        .count();
        return (int) Math.min(Integer.MAX_VALUE, step.tasks().waitingCount() + leaving);
    }

    /** Asks about workers on which a task could start, unless tickets give enough such places. */
    private Optional<Question> questionForNow(
            StepEntry step, int wanted, List<WorkerRecord> pool, long now) {
        if (step.tasks().waitingCount() > 0 && !mayStart(step, now)) {
            return Optional.empty();
        }
        List<WorkerRecord> usable =
                pool.stream().filter(w -> starts.couldStart(step, w, now)).toList();
        List<WorkerRecord> allowed = usable.stream().filter(w -> isAllowed(step, w, now)).toList();
        int places =
                Places.countUpTo(
                        step,
                        wanted,
                        step.spec().footprint(),
                        allowed,
                        WorkerRecord::freeResources);
        return places < wanted
                ? toQuestion(step, wanted - places, usable, true, now)
                : Optional.empty();
    }

    private boolean mayStart(StepEntry step, long now) {
        return StartPlanner.hasStartableTask(step, now)
                && starts.isWithinLimit(step, StartPlanner.startedAtOnce(step), manifest.get());
    }

    /** Asks about workers that could run the step once they have room, for as many as tasks. */
    private static Optional<Question> questionAhead(
            StepEntry step, int wanted, List<WorkerRecord> pool, long now) {
        List<WorkerRecord> suited =
                pool.stream()
                        .filter(w -> w.acceptsTasks(now) && Placement.hasLabel(step.spec(), w))
                        .filter(w -> step.spec().footprint().fitsIn(w.entry().capacity()))
                        .toList();
        long allowed = suited.stream().filter(w -> isAllowed(step, w, now)).count();
        return allowed < wanted
                ? toQuestion(step, (int) (wanted - allowed), suited, false, now)
                : Optional.empty();
    }

    private static boolean isAllowed(StepEntry step, WorkerRecord worker, long now) {
        return step.advice().ticketFor(worker.id(), now).isPresent();
    }

    private static Optional<Question> toQuestion(
            StepEntry step, int missing, List<WorkerRecord> pool, boolean startsNow, long now) {
        List<WorkerRecord> asked =
                pool.stream()
                        .filter(w -> !isAllowed(step, w, now))
                        .sorted(preference(step))
                        .limit(mostWorkers(step, missing))
                        .toList();
        return asked.isEmpty()
                ? Optional.empty()
                : Optional.of(
                        new Question(step, asked, startsNow, step.advice().hasJustFailed(now)));
    }

    /** A gang starts only while its tickets are valid at once, so it asks for all together. */
    private static int mostWorkers(StepEntry step, int missing) {
        return step.spec().gang()
                ? Math.clamp(missing, USUAL_WORKERS_PER_REQUEST, MAX_WORKERS_PER_REQUEST)
                : USUAL_WORKERS_PER_REQUEST;
    }

    private static Comparator<WorkerRecord> preference(StepEntry step) {
        return Comparator.comparing((WorkerRecord w) -> Placement.isAwayFromData(step.spec(), w))
                .thenComparingLong(w -> -w.freeResources().milliCores())
                .thenComparing(WorkerRecord::id);
    }

    private static AdviceRequest toRequest(Question question) {
        StepEntry step = question.step();
        return new AdviceRequest(
                step.job().id(),
                step.occurrence(),
                step.number(),
                question.workers().stream().map(WorkerRecord::id).toList());
    }
}
