package org.chervillift.core.tasks;

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
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.OrderAnswer;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.RunReport;
import org.chervillift.api.tasks.TaskId;
import org.chervillift.api.tasks.WorkerEntry;

/**
 * Schedules the tasks of all jobs on the workers of the fleet.
 *
 * <p>Holds the state of all jobs, tasks and workers as the holder knows it, and derives the orders
 * to the workers from it. A task is started only when no earlier run of it can still exist: a
 * worker has reported the end of the last run, or the worker's lease has expired, or the worker has
 * restarted. All runs of an earlier holder are known once its workers have reported or their leases
 * have expired. A step that is not stored as begun has no such runs.
 */
public final class TaskScheduler {

    private final SchedulerSettings settings;
    private final Consumer<SchedulerEvent> events;
    private final JobTable jobs = new JobTable();
    private final Set<JobEntry> liveJobs = new LinkedHashSet<>();
    private final Map<String, WorkerRecord> workers = new LinkedHashMap<>();
    private final PredecessorWorkers predecessor;
    private final InheritedStarts inheritedStarts;
    private final ProgressRestorer restorer;
    private final RunRegistry runs = new RunRegistry();
    private final RunTimeEstimator runTimes = new RunTimeEstimator();
    private final JobRanking ranking = new JobRanking(runTimes);
    private final Backlog backlog =
            new Backlog(liveJobs, () -> this.manifest, runs, ranking, runTimes);
    private final ArrivalRates arrivalRates = new ArrivalRates();
    private final ProgressChanges changes;
    private final EndAcknowledger acknowledger = new EndAcknowledger();
    private final JobLifecycle lifecycle;
    private final ReportHandler reportHandler;
    private final OrderAnswerHandler answerHandler;
    private final StartPlanner startPlanner;
    private final RunStops stops;
    private final WorkerLossHandler losses;
    private final PaceControl paceControl;
    private final StartGate startGate;
    private final WorkerLeases leases;
    private final StandstillDetector standstills;
    private final Evacuation evacuation = new Evacuation(workers.values());
    private final AdvicePlanner advice;
    private Manifest manifest;

    /**
     * Creates a scheduler without jobs and workers.
     *
     * @param manifest the configuration in force
     * @param events receives each decision, for the log
     * @param now when this holder's term began, on the steady clock in milliseconds
     */
    public TaskScheduler(
            SchedulerSettings settings,
            Manifest manifest,
            Consumer<SchedulerEvent> events,
            long now) {
        this.settings = Checks.notNull("settings", settings);
        this.manifest = Checks.notNull("manifest", manifest);
        this.events = Checks.notNull("events", events);
        this.changes = new ProgressChanges(settings.term());
        this.lifecycle = new JobLifecycle(liveJobs, changes, events);
        this.inheritedStarts = new InheritedStarts(lifecycle, events);
        RunNumbers numbers = new RunNumbers(settings.term());
        this.restorer = new ProgressRestorer(lifecycle, inheritedStarts, numbers);
        this.losses = new WorkerLossHandler(runs, lifecycle, events);
        RunEndEstimator runEnds = new RunEndEstimator(runTimes, settings);
        this.reportHandler =
                new ReportHandler(jobs, runs, numbers, lifecycle, losses, backlog, runEnds, events);
        RackPlanner racks = new RackPlanner(runEnds, ranking, now, events);
        this.startPlanner = new StartPlanner(runs, lifecycle, ranking, racks, settings, events);
        this.advice =
                new AdvicePlanner(
                        jobs, liveJobs, workers.values(), startPlanner, () -> this.manifest);
        this.stops =
                new RunStops(
                        startPlanner,
                        new PreemptionPlanner(startPlanner, ranking, runEnds, settings, events),
                        evacuation,
                        events);
        this.answerHandler = new OrderAnswerHandler(runs, numbers, events);
        this.paceControl = new PaceControl(events);
        this.startGate = new StartGate(changes, runs, this::runOf, events);
        this.predecessor = new PredecessorWorkers(now + settings.predecessorLeaseMillis());
        this.leases = new WorkerLeases(workers, predecessor, losses, lifecycle, events);
        this.standstills =
                new StandstillDetector(
                        liveJobs,
                        workers.values(),
                        () -> this.manifest,
                        leases::poolsOfUnknownRuns,
                        startPlanner,
                        startGate);
    }

    /** Applies a newer configuration. */
    public void configure(Manifest newest) {
        manifest = newest;
        liveJobs.forEach(j -> j.policy(policyOf(j.job())));
    }

    private QueuePolicy policyOf(AcceptedJob job) {
        return manifest.policyOf(job.policy().queue()).orElse(job.policy());
    }

    /**
     * Adds an accepted job.
     *
     * @param waitingMillis how long the job has waited already
     */
    public void accept(AcceptedJob job, long waitingMillis, long now) {
        if (jobs.contains(job.id())) {
            return;
        }
        JobEntry entry = new JobEntry(job, policyOf(job), now - waitingMillis);
        jobs.put(entry);
        liveJobs.add(entry);
        Optional<JobFailure> failure = JobSizeLimits.failureOf(job.spec());
        if (failure.isPresent()) {
            lifecycle.fail(entry, failure.get(), now);
            return;
        }
        arrivalRates.recordArrival(entry, ranking.recordArrival(entry), now - waitingMillis, now);
    }

    /**
     * Adds a job that an earlier holder ended.
     *
     * @param jobReader reads the job when it is needed; returns empty if it cannot be read
     */
    public void acceptEnded(
            String jobId, JobStatus status, Supplier<Optional<AcceptedJob>> jobReader) {
        if (!jobs.contains(jobId)) {
            jobs.putEnded(jobId, status, jobReader);
        }
    }

    /** Restores the progress of a job that an earlier holder stored. */
    public void restore(String jobId, JobProgress progress) {
        jobs.findLoaded(jobId)
                .filter(j -> !j.state().isFinal())
                .ifPresent(j -> restorer.restore(j, progress));
    }

    /** Cancels a job. */
    public void cancel(String jobId, long now) {
        jobs.findLoaded(jobId).ifPresent(j -> lifecycle.cancel(j, now));
    }

    /** Stores the progress of a job in parts from now on, since it is too large for one row. */
    public void storeInParts(String jobId) {
        jobs.findLoaded(jobId)
                .filter(j -> !j.isFinal() && j.layout() == ProgressLayout.ONE_ROW)
                .ifPresent(changes::moveToParts);
    }

    /** Returns whether a job has ended, its end is stored, and none of its runs is open. */
    public boolean mayForget(String jobId) {
        return jobs.findLoaded(jobId)
                .map(j -> j.isFinal() && mayBeTold(j) && !j.hasOpenRuns())
                .orElse(true);
    }

    /** Removes a job whose rows have been deleted, once it is in a final state. */
    public void forget(String jobId) {
        boolean ended = jobs.findLoaded(jobId).map(j -> j.state().isFinal()).orElse(true);
        if (ended) {
            jobs.remove(jobId);
        }
    }

    /** Removes a job whose stored progress cannot be applied, before any task of it starts. */
    public void discard(String jobId) {
        jobs.findLoaded(jobId).ifPresent(liveJobs::remove);
        jobs.remove(jobId);
    }

    /** Returns the state of a job, if it is known; a final state only once it is stored. */
    public Optional<JobState> stateOf(String jobId) {
        return statusOf(jobId).map(JobStatus::state);
    }

    /** Returns the status of a job, if it is known; a final state only once it is stored. */
    public Optional<JobStatus> statusOf(String jobId) {
        return jobs.endedStatusOf(jobId)
                .or(() -> jobs.findLoaded(jobId).filter(this::mayBeTold).map(JobEntry::status));
    }

    private boolean mayBeTold(JobEntry job) {
        return !job.isFinal() || !changes.isUnstored(job);
    }

    /** Returns the customer of a job, if the job is known. */
    public Optional<String> customerOf(String jobId) {
        return jobs.find(jobId).map(j -> j.job().customer());
    }

    /**
     * Returns the number of jobs by queue of which no task has started.
     *
     * <p>A job counts until a worker has reported a run, as an order may be refused or lost.
     */
    public Map<String, Integer> pendingByQueue() {
        return backlog.pendingByQueue();
    }

    /** Returns what tells how much work waits and is finished, for the admission of jobs. */
    public Backlog backlog() {
        return backlog;
    }

    /** Adds a worker on which an earlier holder may have started tasks. */
    public void addPredecessorWorker(String workerId, String pool) {
        predecessor.add(workerId, pool);
    }

    /** Adds or updates a worker as listed by the registry. */
    public void workerListed(WorkerEntry entry, long now) {
        WorkerRecord worker = workers.get(entry.id());
        if (worker == null) {
            workers.put(entry.id(), new WorkerRecord(entry, evacuation, now));
            endFormerWorkers(entry, now);
            return;
        }
        if (worker.isEndedLifetime(entry.bornAtMillis())) {
            return;
        }
        boolean restarted =
                entry.bornAtMillis() != 0
                        && worker.bornAtMillis() != 0
                        && entry.bornAtMillis() > worker.bornAtMillis();
        if (restarted) {
            reportHandler.startNewLifetime(worker, entry.bornAtMillis(), now);
            worker.reported(false);
        }
        worker.updateEntry(entry);
    }

    /** A VM has one worker at a time: the one that registers last. */
    private void endFormerWorkers(WorkerEntry newest, long now) {
        leases.formerWorkersOf(newest).forEach(id -> workerLifetimeEnded(id, now, now));
    }

    /** Marks a worker as unlisted; its runs may go on until its lease ends. */
    public void workerUnlisted(String workerId) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(WorkerRecord::markUnlisted);
    }

    /**
     * Closes the runs of a worker whose lifetime has ended.
     *
     * @param evidenceFrom from when the evidence may be, in milliseconds; an order to start that
     *     was sent later may have reached the next lifetime
     */
    public void workerLifetimeEnded(String workerId, long evidenceFrom, long now) {
        predecessor.remove(workerId);
        inheritedStarts.lifetimeEnded(workerId, now);
        WorkerRecord worker = workers.get(workerId);
        if (worker != null && !worker.runs().isEmpty()) {
            losses.lifetimeEndedWithRuns(worker, evidenceFrom, now);
        }
        if (worker != null) {
            worker.reported(false);
        }
    }

    /** Records that a worker's lease may last until a time, on the steady clock in milliseconds. */
    public void leaseGranted(String workerId, long endsAt) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(w -> w.leaseGranted(endsAt));
    }

    /** Records whether a worker answered the last call. */
    public void setReachable(String workerId, boolean value, long now) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(w -> w.reachable(value, now));
    }

    /** Cordons a worker, so that it gets no new tasks, or lifts the cordon. */
    public void setCordoned(String workerId, boolean value) {
        Optional.ofNullable(workers.get(workerId)).ifPresent(w -> w.cordoned(value));
    }

    /**
     * Replaces the workers whose VMs are to be maintained; long-running tasks avoid them.
     *
     * @param workerIds the identifiers of these workers
     */
    public void setMaintenanceDue(Set<String> workerIds) {
        workers.values().forEach(w -> w.maintenanceDue(workerIds.contains(w.id())));
    }

    /**
     * Applies a worker's report.
     *
     * @param sentAt when the call was sent that the report answers, in milliseconds
     * @return whether ends of runs were applied that had not been before
     */
    public boolean applyReport(String workerId, RunReport report, long sentAt, long now) {
        WorkerRecord worker = workers.get(workerId);
        if (worker == null || worker.isEndedLifetime(report.bornAtMillis())) {
            return false;
        }
        long before = worker.lastAppliedEnd();
        inheritedStarts.workerReported(workerId, report, now);
        boolean allRunsKnown = reportHandler.apply(worker, report, sentAt, now);
        worker.reported(true);
        standstills.reportApplied(now);
        if (allRunsKnown) {
            predecessor.remove(workerId);
        }
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

    /** Returns the number of the last end of a run that a worker need not report again. */
    public long acknowledgedEnd(String workerId) {
        WorkerRecord worker = workers.get(workerId);
        return worker == null ? 0 : worker.acknowledgedEnd();
    }

    /** Returns whether the outcome of an order to a worker can only be known from a new report. */
    public boolean needsFreshReport(String workerId) {
        return Optional.ofNullable(workers.get(workerId)).stream()
                .flatMap(w -> w.runs().stream())
                .anyMatch(Run::needsFreshReport);
    }

    /** Applies the answer to an order. */
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
     * Decides which orders to send now.
     *
     * @param now the steady time in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970 UTC
     */
    public List<Order> plan(long now, long wallMillis) {
        List<Order> orders = planWithoutStarts(now, wallMillis);
        Set<String> pools = leases.poolsOfUnknownRuns(now);
        orders.addAll(
                startGate.releaseReady(
                        startPlanner.planStarts(liveJobs, workers.values(), manifest, pools, now),
                        now));
        orders.addAll(stops.planAfterStarts(workers.values(), manifest, now));
        return orders;
    }

    /**
     * Decides which orders to send while newer jobs and cancellations may not have been read yet.
     *
     * @param now the steady time in milliseconds
     * @param wallMillis the time of day, in milliseconds since 1970 UTC
     */
    public List<Order> planWithoutStarts(long now, long wallMillis) {
        leases.closeExpired(now);
        liveJobs.forEach(j -> j.createDueOccurrences(wallMillis));
        List<Order> orders = stops.planBeforeStarts(workers.values(), now);
        orders.addAll(paceControl.decide(workers.values(), now));
        return orders;
    }

    /** Returns what decides about which workers the advice service is asked. */
    public AdvicePlanner advice() {
        return advice;
    }

    /** Returns the load of a worker. */
    public WorkerLoad loadOf(String workerId, long now) {
        WorkerRecord worker = workers.get(workerId);
        WorkerLoad load = worker == null ? WorkerLoad.IDLE : LoadCalculator.loadOf(worker, now);
        return leases.areRunsKnown(workerId, now) ? load : load.withUnknownRuns();
    }

    /** Returns the load of the pools by name. */
    public Map<String, PoolLoad> poolLoads(long now) {
        return new LoadCalculator(manifest, runs, arrivalRates)
                .poolLoads(liveJobs, workers.values(), now);
    }

    /** Returns how many customers were beyond their share, by pool in which they compete. */
    public Map<String, Integer> customersBeyondShare() {
        return startPlanner.customersBeyondShare();
    }

    /**
     * Drains a worker: stops its long-running runs, so that their tasks start on other workers, as
     * far as their steps allow tasks to be down.
     *
     * @param urgent whether runs that end by themselves are stopped as well, and long-running runs
     *     although no other worker can take their tasks yet
     */
    public void drain(String workerId, boolean urgent, long now) {
        Optional.ofNullable(workers.get(workerId))
                .ifPresent(w -> WorkerDrainer.stopRuns(w, workers.values(), urgent, now));
    }

    /** Returns which data centres are evacuated, to be replaced as the operator asks. */
    public Evacuation evacuation() {
        return evacuation;
    }

    /** Returns whether a report is of a lifetime of its worker that has ended since. */
    public boolean isOfEndedLifetime(String workerId, RunReport report) {
        WorkerRecord worker = workers.get(workerId);
        return worker != null && worker.isEndedLifetime(report.bornAtMillis());
    }

    /** Returns the pools, by worker identifier, of the workers that are listed or may have runs. */
    public Map<String, String> workersInUse() {
        return leases.workersInUse();
    }

    /** Returns what is known of the lifetimes of the workers that are listed or may have runs. */
    public List<WorkerEvidence> evidenceOfWorkersInUse(long now) {
        return leases.evidenceOfWorkersInUse(now);
    }

    /** Returns what tells why work waits. */
    public StandstillDetector standstills() {
        return standstills;
    }

    /** Returns what holds back starts until they may be sent. */
    public StartGate startGate() {
        return startGate;
    }

    /** Returns all progress to store, after which the ends that caused it may be acknowledged. */
    public UnstoredProgress unstoredProgress() {
        return unstoredProgress(Integer.MAX_VALUE);
    }

    /** Returns the progress to store next, in at most some rows. */
    public UnstoredProgress unstoredProgress(int mostRows) {
        return UnstoredProgress.snapshot(changes, AppliedEnds.of(workers.values()), mostRows);
    }

    /** Leaves out a row of a snapshot that fits in no row of the store, so that the others fit. */
    public void leaveUnstored(UnstoredProgress unstored, int row) {
        unstored.leaveUnstored(row, changes);
    }

    /** Records that a snapshot of progress has been stored. */
    public void markStored(UnstoredProgress stored) {
        markStored(stored, stored.rows().size());
    }

    /** Records that the first rows of a snapshot of progress have been stored. */
    public void markStored(UnstoredProgress stored, int rows) {
        stored.markStored(rows, changes);
        acknowledger.add(stored.changeCount(), stored.ends());
        acknowledger.acknowledge(changes.storedUpTo(), workers);
    }
}
