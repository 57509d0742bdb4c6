package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;

/**
 * All jobs, tasks and workers as their holder knows them, and the orders that follow.
 *
 * <p>A task starts only when no run of it can exist any more: the last one ended in a worker's
 * list, or the worker's lease is over, or the worker began a new lifetime. Runs of an earlier
 * holder are known once its workers have been asked, or their leases are over; of a step that is
 * not stored as begun there are none.
 */
public final class TaskScheduler {

    private static final long STOP_RETRY_MILLIS = 400;

    private final SchedulerSettings settings;
    private final Consumer<SchedulerEvent> events;
    private final JobTable jobs = new JobTable();
    private final Set<JobEntry> liveJobs = new LinkedHashSet<>();
    private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
    private final Map<String, String> predecessorWorkers = new HashMap<>();
    private final RunRegistry runs = new RunRegistry();
    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private final JobRanking ranking = new JobRanking(runTimes);
    private final ArrivalRates arrivalRates = new ArrivalRates();
    private final JobLifecycle lifecycle;
    private final ReportHandler reportHandler;
    private final OrderAnswerHandler answerHandler;
    private final StartPlanner startPlanner;
    private final StalledRunDetector stalledRunDetector;
    private final PaceControl paceControl;
    private final StartGate startGate;
    private final long predecessorLeasesEndAt;
    private Manifest manifest;

    /**
     * Creates an empty board.
     *
     * @param manifest the configuration in force
     * @param notes told of each decision
     * @param now when this holder's term began, in milliseconds
     */
    public TaskScheduler(
            SchedulerSettings settings,
            Manifest manifest,
            Consumer<SchedulerEvent> notes,
            long now) {
        this.settings = Checks.notNull("settings", settings);
        this.manifest = Checks.notNull("manifest", manifest);
        this.events = Checks.notNull("notes", notes);
        this.lifecycle = new JobLifecycle(liveJobs, notes);
        this.reportHandler = new ReportHandler(jobs, runs, lifecycle, runTimes, notes);
        this.startPlanner = new StartPlanner(runs, lifecycle, ranking, settings, notes);
        this.answerHandler = new OrderAnswerHandler(runs, notes);
        this.stalledRunDetector = new StalledRunDetector(notes);
        this.paceControl = new PaceControl(notes);
        this.startGate = new StartGate(lifecycle, this::runOf);
        this.predecessorLeasesEndAt = now + settings.predecessorLeaseMillis();
    }

    /** Takes a newer configuration. */
    public void configure(Manifest newest) {
        manifest = newest;
        liveJobs.forEach(j -> j.policy(policyOf(j.job())));
    }

    private QueuePolicy policyOf(AcceptedJob job) {
        return manifest.policyOf(job.policy().queue()).orElse(job.policy());
    }

    /**
     * Takes a job that was accepted.
     *
     * @param waitingMillis how long it has waited
     */
    public void accept(AcceptedJob job, long waitingMillis, long now) {
        if (jobs.contains(job.id())) {
            return;
        }
        JobEntry entry = new JobEntry(job, policyOf(job), now - waitingMillis);
        jobs.put(entry);
        liveJobs.add(entry);
        arrivalRates.recordArrival(entry, ranking.recordArrival(entry), now - waitingMillis, now);
    }

    /**
     * Takes a job that an earlier holder ended.
     *
     * @param job reads the job when it is needed; empty if it cannot be read
     */
    public void acceptEnded(String jobId, JobState state, Supplier<Optional<AcceptedJob>> job) {
        if (!jobs.contains(jobId)) {
            jobs.putEnded(jobId, state, job);
        }
    }

    /** Takes what an earlier holder stored of a job's progress. */
    public void restore(String jobId, JobProgress progress) {
        jobs.findLoaded(jobId)
                .filter(j -> !j.state().isFinal())
                .ifPresent(j -> restore(j, progress));
    }

    private void restore(JobEntry job, JobProgress progress) {
        for (JobProgress.StepProgress stored : progress.steps()) {
            StepEntry step = job.step(stored.occurrence(), stored.step());
            step.markBegunByPredecessor();
            if (!stored.done().isEmpty() || !stored.failures().isEmpty()) {
                job.markHasRun();
            }
            stored.done().forEach(i -> step.markDone(step.tasks().get(i)));
            stored.failures()
                    .forEach(
                            f -> {
                                TaskEntry task = step.tasks().get(f.task());
                                task.failedRuns().addAll(f.runs());
                                f.runs().forEach(task::recordRunNumber);
                            });
        }
        if (progress.state().isFinal()) {
            job.state(progress.state());
            liveJobs.remove(job);
        } else if (!progress.steps().isEmpty()) {
            lifecycle.markStarted(job);
        }
    }

    /** Takes the withdrawal of a job. */
    public void cancel(String jobId, long now) {
        jobs.findLoaded(jobId).ifPresent(j -> lifecycle.cancel(j, now));
    }

    /** Forgets a job whose rows are gone. */
    public void forget(String jobId) {
        boolean isOver = jobs.findLoaded(jobId).map(j -> j.state().isFinal()).orElse(true);
        if (isOver) {
            jobs.remove(jobId);
        }
    }

    /** Returns the state of a job, if it is known. */
    public Optional<JobState> stateOf(String jobId) {
        return jobs.endedStateOf(jobId)
                .or(
                        () ->
                                jobs.findLoaded(jobId)
                                        .filter(
                                                j ->
                                                        !lifecycle.changedJobs().contains(j)
                                                                || !j.isFinal())
                                        .map(JobEntry::state));
    }

    /** Returns the customer of a job, if the job is known. */
    public Optional<String> customerOf(String jobId) {
        return jobs.find(jobId).map(j -> j.job().customer());
    }

    /**
     * Returns how many jobs of each queue have no task that a worker has begun.
     *
     * <p>A job counts until a worker has told of a run, as an order may be refused or lost.
     */
    public Map<String, Integer> pendingByQueue() {
        Map<String, Integer> pending = new HashMap<>();
        liveJobs.stream()
                .filter(j -> !j.hasRun())
                .forEach(j -> pending.merge(j.policy().queue(), 1, Integer::sum));
        return pending;
    }

    /** Notes a worker that an earlier holder may have given work. */
    public void addPredecessorWorker(String workerId, String pool) {
        predecessorWorkers.put(workerId, pool);
    }

    /** Notes a worker as the registry describes it. */
    public void workerListed(WorkerEntry entry) {
        WorkerRecord worker = workers.get(entry.id());
        if (worker == null) {
            workers.put(entry.id(), new WorkerRecord(entry));
            return;
        }
        boolean reborn =
                entry.bornAtMillis() != 0
                        && worker.bornAtMillis() != 0
                        && entry.bornAtMillis() > worker.bornAtMillis();
        worker.updateEntry(entry);
        if (reborn) {
            reportHandler.startNewLifetime(worker, entry.bornAtMillis());
            worker.reported(false);
        }
    }

    /** Notes that the registry lists a worker no more; what it runs may go on until its lease. */
    public void workerUnlisted(String workerId) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(WorkerRecord::markUnlisted);
    }

    /** Notes that a worker's lifetime is over, so that nothing of it runs any more. */
    public void workerLifetimeEnded(String workerId) {
        predecessorWorkers.remove(workerId);
        WorkerRecord worker = workers.get(workerId);
        if (worker != null && !worker.runs().isEmpty()) {
            events.accept(
                    new SchedulerEvent(
                            SchedulerEvent.Kind.LIFETIME,
                            "",
                            "",
                            workerId,
                            "over, runs=" + worker.runs().size()));
            worker.runsCopy().forEach(runs::close);
        }
        if (worker != null) {
            worker.reported(false);
        }
    }

    /** Notes that a worker may hold its lease until a time. */
    public void leaseGranted(String workerId, long endsAt) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(w -> w.leaseGranted(endsAt));
    }

    /** Notes whether a worker answers. */
    public void setReachable(String workerId, boolean value, long now) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(w -> w.reachable(value, now));
    }

    /** Keeps new tasks away from a worker, or lets them come again. */
    public void setCordoned(String workerId, boolean value) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(w -> w.cordoned(value));
    }

    /**
     * Takes a worker's report.
     *
     * @param sentAt when the call was sent that brought the report
     * @return whether it told ends that were not known
     */
    public boolean applyReport(String workerId, RunReport report, long sentAt, long now) {
        WorkerRecord worker = workers.get(workerId);
        if (worker == null) {
            return false;
        }
        long before = worker.lastAppliedEnd();
        reportHandler.apply(worker, report, sentAt, now);
        worker.reported(true);
        predecessorWorkers.remove(workerId);
        return worker.lastAppliedEnd() > before;
    }

    /** Returns the workers that the registry lists. */
    public List<WorkerEntry> listedWorkers() {
        return workers.values().stream()
                .filter(WorkerRecord::isListed)
                .map(WorkerRecord::entry)
                .toList();
    }

    /** Returns whether a worker is listed or may still have runs. */
    public boolean knowsWorker(String workerId) {
        return workers.containsKey(workerId);
    }

    /** Returns the greatest end of a worker that need not be told again. */
    public long acknowledgedEnd(String workerId) {
        WorkerRecord worker = workers.get(workerId);
        return worker == null ? 0 : worker.acknowledgedEnd();
    }

    /** Returns whether only a look at a worker tells what became of an order. */
    public boolean needsFreshReport(String workerId) {
        WorkerRecord worker = workers.get(workerId);
        return worker != null && worker.runs().stream().anyMatch(Run::needsFreshReport);
    }

    /** Takes the answer to an order. */
    public void applyAnswer(Order order, OrderAnswer answer, long now) {
        runOf(order).ifPresent(run -> answerHandler.apply(order, run, answer, now));
    }

    private Optional<Run> runOf(Order order) {
        WorkerRecord worker = workers.get(order.worker());
        TaskId id = order.task();
        return jobs.findLoaded(id.job())
                .filter(j -> worker != null)
                .map(j -> j.step(id.occurrence(), id.step()).tasks().get(id.index()))
                .flatMap(t -> t.run(order.run(), worker));
    }

    /**
     * Decides what the workers are told now.
     *
     * @param now the steady time in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970 UTC
     */
    public List<Order> plan(long now, long wallMillis) {
        List<Order> orders = planWithoutStarts(now, wallMillis);
        orders.addAll(
                startGate.releaseReady(
                        startPlanner.planStarts(
                                liveJobs, workers.values(), manifest, s -> mayStart(s, now), now)));
        return orders;
    }

    /**
     * Decides what the workers are told while newer jobs and withdrawals may be unknown here.
     *
     * @param now the steady time in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970 UTC
     */
    public List<Order> planWithoutStarts(long now, long wallMillis) {
        closeRunsOfExpiredLeases(now);
        stalledRunDetector.check(workers.values(), now);
        liveJobs.forEach(j -> j.createDueOccurrences(wallMillis));
        List<Order> orders = new ArrayList<>(stopOrders(now));
        orders.addAll(paceControl.decide(workers.values(), now));
        return orders;
    }

    /** Returns what to ask the advice service next, if a step waits for its advice. */
    public Optional<AdviceRequest> nextAdviceRequest(long now) {
        for (JobEntry job : liveJobs) {
            if (!job.policy().advised()) {
                continue;
            }
            List<WorkerRecord> pool =
                    workers.values().stream()
                            .filter(w -> w.pool().equals(job.policy().pool()))
                            .toList();
            Optional<StepEntry> step =
                    job.steps()
                            .filter(s -> !s.isDone() && s.isReady())
                            .filter(s -> s.advice().needsTickets(pool, s.waitingCount(), now))
                            .filter(s -> !s.advice().nextWorkersToAsk(pool, now).isEmpty())
                            .findFirst();
            if (step.isPresent()) {
                StepEntry s = step.get();
                return Optional.of(
                        new AdviceRequest(
                                job.id(),
                                s.occurrence(),
                                s.number(),
                                s.advice().nextWorkersToAsk(pool, now)));
            }
        }
        return Optional.empty();
    }

    /** Takes the advice service's answer: the tickets of the workers that may run the step. */
    public void applyAdvice(AdviceRequest question, Map<String, String> tickets, long validUntil) {
        jobs.findLoaded(question.job())
                .map(j -> j.step(question.occurrence(), question.step()))
                .ifPresent(s -> s.advice().applyAnswer(question.workers(), tickets, validUntil));
    }

    private void closeRunsOfExpiredLeases(long now) {
        for (WorkerRecord worker : workers.values()) {
            if (now > lastLeaseEndsAt(worker) && !worker.runs().isEmpty()) {
                events.accept(
                        new SchedulerEvent(
                                SchedulerEvent.Kind.LEASE_OVER,
                                "",
                                "",
                                worker.id(),
                                "runs=" + worker.runs().size()));
                worker.runsCopy().forEach(runs::close);
            }
        }
        workers.values().removeIf(w -> !w.isListed() && now > lastLeaseEndsAt(w));
    }

    /** Returns when the leases end that this holder and its predecessor gave to a worker. */
    private long lastLeaseEndsAt(WorkerRecord worker) {
        return Math.max(worker.leaseEndsAt(), predecessorLeasesEndAt);
    }

    private List<Order> stopOrders(long now) {
        List<Order> orders = new ArrayList<>();
        for (WorkerRecord worker : workers.values()) {
            for (Run run : worker.runs()) {
                boolean due = now - STOP_RETRY_MILLIS >= run.stopSentAt();
                if (run.phase() == Run.Phase.STOPPING
                        && worker.hasReported()
                        && !run.stopConfirmedBefore(now)
                        && due) {
                    run.markStopSent(now);
                    events.accept(SchedulerEvent.of(SchedulerEvent.Kind.STOP, run, ""));
                    orders.add(new Order.Stop(worker.id(), run.task().id(), run.number()));
                }
            }
        }
        return orders;
    }

    /** Returns whether no run of an earlier holder can be unknown. */
    private boolean mayStart(StepEntry step, long now) {
        if (!step.isBegunByPredecessor() || now > predecessorLeasesEndAt) {
            return true;
        }
        JobEntry job = step.job();
        Collection<String> pools = predecessorWorkers.values();
        return !pools.contains(job.policy().pool()) && !pools.contains(job.job().policy().pool());
    }

    /** Returns whether a worker has told this holder what it runs. */
    public boolean hasReported(String workerId) {
        WorkerRecord worker = workers.get(workerId);
        return worker != null && worker.hasReported();
    }

    /** Returns what a worker runs. */
    public WorkerLoad loadOf(String workerId, long now) {
        WorkerRecord worker = workers.get(workerId);
        return worker == null ? WorkerLoad.IDLE : LoadCalculator.loadOf(worker, now);
    }

    /** Returns what the pools are asked for. */
    public Map<String, PoolLoad> poolLoads(long now) {
        return new LoadCalculator(manifest, runs, arrivalRates)
                .poolLoads(liveJobs, workers.values(), now);
    }

    /**
     * Empties a worker: moves runs that last, as far as their steps may miss them.
     *
     * @param stopFinite whether runs that end by themselves are stopped as well
     */
    public void drain(String workerId, boolean stopFinite, long now) {
        WorkerRecord worker = workers.get(workerId);
        if (worker == null) {
            return;
        }
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            boolean may = spec.longRunning() ? run.task().step().canStopOneMore(run) : stopFinite;
            if (may && run.phase() == Run.Phase.RUNNING) {
                run.enterPhase(Run.Phase.STOPPING, now);
            }
        }
    }

    /** Returns the workers that have or may have runs, by identifier, with their pools. */
    public Map<String, String> workersInUse() {
        Map<String, String> inUse = new HashMap<>(predecessorWorkers);
        workers.values().stream()
                .filter(w -> w.isListed() || !w.runs().isEmpty())
                .forEach(w -> inUse.put(w.id(), w.pool()));
        return inUse;
    }

    /** Returns whether starts wait until their steps are stored. */
    public boolean hasHeldStarts() {
        return startGate.hasHeldStarts();
    }

    /** Returns what must be stored before the ends that caused it are acknowledged. */
    public UnstoredProgress unstoredProgress() {
        return UnstoredProgress.snapshot(
                lifecycle.changedJobs(), workers.values(), settings.term());
    }

    /** Notes that something is stored. */
    public void markStored(UnstoredProgress stored) {
        stored.unchangedJobs(settings.term()).forEach(lifecycle.changedJobs()::remove);
        stored.markBegunStepsStored();
        stored.acknowledgeEnds(workers);
    }
}
