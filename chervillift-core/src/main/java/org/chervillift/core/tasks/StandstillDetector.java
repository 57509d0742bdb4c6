package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.core.tasks.StandstillReport.StandingJobs;
import org.chervillift.core.tasks.StandstillReport.StartStatus;
import org.chervillift.core.tasks.StandstillReport.WaitingSteps;

/**
 * Finds the steps that wait and the jobs that stand still, and says why.
 *
 * <p>A job stands still if nothing of it has run for 3 s, while its first task that waits had a
 * place: a worker of the pool with twice the room that the task takes, beside the runs that workers
 * have confirmed, and a customer with less than half of its limit in use. A holder may see no such
 * place, since it does not reach the worker or counts a run that never began. So places are counted
 * by what runs, and the reason says why the holder does not use them. A step that waits for a place
 * in its rack has no other place until that wait ends.
 *
 * <p>A job that runs stands still as well, if a long-running task of it has had such a place for 6
 * s and no run.
 */
public final class StandstillDetector {

    private static final long STANDSTILL_MILLIS = 3_000;
    private static final long LONG_RUNNING_STANDSTILL_MILLIS = 6_000;

    /** The room that must be free, in times of what a task takes, so that no close call counts. */
    private static final long ROOM_FACTOR = 2;

    /** The part of a customer's limit that may be in use is one of this many. */
    private static final long LIMIT_FACTOR = 2;

    private final Collection<JobEntry> liveJobs;
    private final Collection<WorkerRecord> workers;
    private final Supplier<Manifest> manifest;
    private final LongFunction<Set<String>> unknownPools;
    private final StartGate gate;
    private final StartPlanner planner;
    private final WaitExplainer explainer;
    private final Map<JobEntry, Long> placeSince = new HashMap<>();
    private OptionalLong lastReportAt = OptionalLong.empty();

    /** A pool, and a reason why work of the pool waits. */
    private record Wait(String pool, WaitReason reason) implements Comparable<Wait> {

        private static final Comparator<Wait> ORDER =
                Comparator.comparing(Wait::pool).thenComparing(Wait::reason);

        @Override
        public int compareTo(Wait other) {
            return ORDER.compare(this, other);
        }
    }

    /** A job that stands still, and its first step that waits. */
    private record Standing(JobEntry job, StepEntry step, long millis) {}

    /** What holds for all jobs of one moment. */
    private record Round(
            Map<String, List<WorkerRecord>> pools,
            Map<String, Resources> usage,
            Optional<WaitReason> suspension,
            WaitExplainer.Moment moment) {

        List<WorkerRecord> poolOf(JobEntry job) {
            return pools.getOrDefault(job.policy().pool(), List.of());
        }

        long now() {
            return moment.now();
        }
    }

    /**
     * Creates a detector that has seen nothing yet.
     *
     * @param unknownPools returns the pools of the workers that may have runs which this holder
     *     does not know, at a time in milliseconds
     */
    StandstillDetector(
            Collection<JobEntry> liveJobs,
            Collection<WorkerRecord> workers,
            Supplier<Manifest> manifest,
            LongFunction<Set<String>> unknownPools,
            StartPlanner planner,
            StartGate gate) {
        this.liveJobs = liveJobs;
        this.workers = workers;
        this.manifest = manifest;
        this.unknownPools = unknownPools;
        this.gate = gate;
        this.planner = planner;
        this.explainer = new WaitExplainer(planner);
    }

    /** Records that a worker's report was applied. */
    void reportApplied(long now) {
        lastReportAt = OptionalLong.of(now);
    }

    /**
     * Returns what waits and what stands still. To be asked about once a second, since the time for
     * which a job had a place is known from these calls. Jobs count also if no plan has seen them.
     *
     * @param suspension why the holder starts no task at all, if it does not
     * @param now the steady time in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970 UTC
     */
    public StandstillReport check(Optional<WaitReason> suspension, long now, long wallMillis) {
        Checks.notNull("suspension", suspension);
        liveJobs.forEach(j -> j.createDueOccurrences(wallMillis));
        Round round = newRound(suspension, now);
        placeSince.keySet().retainAll(liveJobs);
        Map<Wait, Integer> waiting = new TreeMap<>();
        Map<Wait, List<Standing>> standing = new TreeMap<>();
        for (JobEntry job : liveJobs) {
            List<StepEntry> steps = job.steps().filter(StandstillDetector::waits).toList();
            steps.forEach(s -> waiting.merge(waitOf(s, round), 1, Integer::sum));
            standingStep(job, steps, round)
                    .ifPresent(
                            s ->
                                    standing.computeIfAbsent(
                                                    standingWait(s, round), w -> new ArrayList<>())
                                            .add(s));
        }
        return new StandstillReport(
                waiting.entrySet().stream()
                        .map(e -> toWaitingSteps(e.getKey(), e.getValue()))
                        .toList(),
                standing.entrySet().stream()
                        .map(e -> toStandingJobs(e.getKey(), e.getValue(), round))
                        .toList(),
                startStatus(now));
    }

    private Round newRound(Optional<WaitReason> suspension, long now) {
        Map<String, List<WorkerRecord>> pools =
                workers.stream()
                        .filter(WorkerRecord::isListed)
                        .collect(Collectors.groupingBy(WorkerRecord::pool));
        Map<String, Resources> usage = new HashMap<>();
        workers.stream()
                .flatMap(w -> w.runs().stream())
                .filter(Run::hasBegun)
                .forEach(
                        r ->
                                usage.merge(
                                        r.task().step().job().job().customer(),
                                        r.task().step().spec().request(),
                                        Resources::plus));
        return new Round(
                pools,
                usage,
                suspension,
                WaitExplainer.moment(manifest.get(), unknownPools.apply(now), workers, now));
    }

    /** Returns whether a step could run as far as its job is concerned, and no worker runs it. */
    private static boolean waits(StepEntry step) {
        return !step.isDone()
                && step.isReady()
                && step.runs().noneMatch(Run::hasBegun)
                && (step.tasks().waitingCount() > 0 || step.runs().findAny().isPresent());
    }

    private Wait waitOf(StepEntry step, Round round) {
        WaitReason reason =
                round.suspension()
                        .orElseGet(
                                () ->
                                        explainer.explain(
                                                step, round.poolOf(step.job()), round.moment()));
        return new Wait(step.job().policy().pool(), reason);
    }

    /** Explains a standstill by the workers that have a place, not by those that are full. */
    private Wait standingWait(Standing standing, Round round) {
        StepEntry step = standing.step();
        WaitReason reason =
                round.suspension()
                        .orElseGet(
                                () ->
                                        explainer.explain(
                                                step, placesFor(step, round), round.moment()));
        return new Wait(step.job().policy().pool(), reason);
    }

    private Optional<Standing> standingStep(JobEntry job, List<StepEntry> steps, Round round) {
        boolean runs = runs(job);
        Optional<StepEntry> step =
                runs ? longRunningStepThatLacksTasks(job) : steps.stream().findFirst();
        if (step.filter(s -> hasPlace(s, round)).isEmpty()) {
            placeSince.remove(job);
            return Optional.empty();
        }
        long placeSinceMillis = placeSince.computeIfAbsent(job, j -> round.now());
        long since = runs ? placeSinceMillis : Math.max(job.lastRanAt(), placeSinceMillis);
        long millis = round.now() - since;
        return millis >= (runs ? LONG_RUNNING_STANDSTILL_MILLIS : STANDSTILL_MILLIS)
                ? Optional.of(new Standing(job, step.get(), millis))
                : Optional.empty();
    }

    private static Optional<StepEntry> longRunningStepThatLacksTasks(JobEntry job) {
        return job.steps()
                .filter(s -> s.spec().longRunning() && s.isReady())
                .filter(s -> s.tasks().waitingCount() > 0)
                .findFirst();
    }

    private static boolean runs(JobEntry job) {
        return job.steps().flatMap(StepEntry::runs).anyMatch(Run::hasBegun);
    }

    private boolean hasPlace(StepEntry step, Round round) {
        return !planner.waitsForRack(step, round.now())
                && isBelowHalfOfLimit(step, round)
                && Places.suffice(
                        step,
                        StartPlanner.startedAtOnce(step),
                        sizeOfPlace(step),
                        placesFor(step, round),
                        round.moment()::roomOn);
    }

    private static Resources sizeOfPlace(StepEntry step) {
        return step.spec().footprint().times(ROOM_FACTOR);
    }

    private static boolean isBelowHalfOfLimit(StepEntry step, Round round) {
        String name = step.job().job().customer();
        Customer customer = round.moment().manifest().customers().get(name);
        Resources usage = round.usage().getOrDefault(name, Resources.NONE);
        return customer == null || usage.times(LIMIT_FACTOR).fitsInLimit(customer.limit());
    }

    /** Returns the workers that have a place for a task, by what runs on them. */
    private static List<WorkerRecord> placesFor(StepEntry step, Round round) {
        Resources size = sizeOfPlace(step);
        return round.poolOf(step.job()).stream()
                .filter(w -> size.fitsIn(round.moment().roomOn(w)))
                .filter(w -> !w.entry().draining() && !w.isEvacuated())
                .filter(w -> Placement.hasLabel(step.spec(), w))
                .filter(w -> Placement.isBelowMaximum(step, w))
                .filter(w -> !step.advice().isRefused(w.id()))
                .toList();
    }

    private static WaitingSteps toWaitingSteps(Wait wait, int steps) {
        return new WaitingSteps(wait.pool(), wait.reason(), steps);
    }

    private static StandingJobs toStandingJobs(Wait wait, List<Standing> jobs, Round round) {
        Standing oldest =
                jobs.stream().max(Comparator.comparingLong(Standing::millis)).orElseThrow();
        List<WorkerRecord> pool = round.pools().getOrDefault(wait.pool(), List.of());
        long usable = pool.stream().filter(w -> w.acceptsTasks(round.now())).count();
        return new StandingJobs(
                wait.pool(),
                wait.reason(),
                jobs.size(),
                oldest.job().id(),
                firstTask(oldest.step()).toString(),
                oldest.millis(),
                (int) usable,
                pool.size());
    }

    private static TaskId firstTask(StepEntry step) {
        return step.runs()
                .findFirst()
                .map(Run::task)
                .orElseGet(() -> step.tasks().waiting().iterator().next())
                .id();
    }

    /** Returns how far the orders to start have come. */
    public StartStatus startStatus(long now) {
        List<Run> notBegun =
                workers.stream()
                        .flatMap(w -> w.runs().stream())
                        .filter(r -> !r.hasBegun())
                        .toList();
        List<Run> unanswered = notBegun.stream().filter(r -> !r.isStartHeld()).toList();
        long oldest = unanswered.stream().mapToLong(Run::openedAt).min().orElse(now);
        return new StartStatus(
                Ages.since(gate.lastRoundAt(), now),
                Ages.since(gate.lastReleaseAt(), now),
                Ages.since(lastReportAt, now),
                notBegun.size() - unanswered.size(),
                unanswered.size(),
                now - oldest);
    }
}
