package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;
import org.chervillift.core.tasks.JobProgress.IndexRange;

/** The scheduler's state of one job. */
final class JobEntry {

    private AcceptedJob job;
    private final Map<Integer, List<StepEntry>> occurrences = new TreeMap<>();
    private final IndexRanges condensed = new IndexRanges();
    private final long arrivedAt;
    private QueuePolicy policy;
    private JobState state = JobState.QUEUED;
    private Optional<JobFailure> failure = Optional.empty();
    private int nextOccurrence;
    private int begunTaskCount;
    private boolean hasRun;
    private ProgressLayout layout = ProgressLayout.ONE_ROW;
    private long partsTerm;
    private String firstFailedWorker = "";
    private long lastRanAt;

    /**
     * Creates an entry.
     *
     * @param arrivedAt when the job began to wait, on the steady clock in milliseconds
     */
    JobEntry(AcceptedJob job, QueuePolicy policy, long arrivedAt) {
        this.job = job;
        this.policy = policy;
        this.arrivedAt = arrivedAt;
        this.lastRanAt = arrivedAt;
    }

    /** Returns when an occurrence began to wait, on the steady clock in milliseconds. */
    long waitingSince(int occurrence) {
        Schedule schedule = job.spec().schedule();
        long offset = schedule.dueAtMillis(occurrence) - job.acceptedAtMillis();
        return schedule.timed() ? arrivedAt + Math.max(0, offset) : arrivedAt;
    }

    String id() {
        return job.id();
    }

    AcceptedJob job() {
        return job;
    }

    QueuePolicy policy() {
        return policy;
    }

    void policy(QueuePolicy newest) {
        policy = newest;
    }

    JobState state() {
        return state;
    }

    boolean isFinal() {
        return state.isFinal();
    }

    /** Drops what is needed only to start tasks, once the job is in a final state. */
    void dropUnneeded() {
        job = job.withoutPayload();
        steps().forEach(s -> s.tasks().dropUnneeded());
        occurrences.values().removeIf(JobEntry::keepsNoTask);
    }

    boolean hasOpenRuns() {
        return steps().anyMatch(s -> s.runs().findAny().isPresent());
    }

    void state(JobState next) {
        state = next;
    }

    /** Returns why the job has failed, if it has and that is known. */
    Optional<JobFailure> failure() {
        return failure;
    }

    void failure(Optional<JobFailure> reason) {
        failure = reason;
    }

    JobStatus status() {
        return new JobStatus(state, failure);
    }

    StepEntry step(int occurrence, int number) {
        return occurrence(occurrence).get(number);
    }

    /** Returns the steps of an occurrence; creates them at the first call. */
    List<StepEntry> occurrence(int occurrence) {
        return occurrences.computeIfAbsent(occurrence, this::createSteps);
    }

    private List<StepEntry> createSteps(int occurrence) {
        List<StepSpec> specs = job.spec().steps();
        List<StepEntry> steps = new ArrayList<>(specs.size());
        for (int i = 0; i < specs.size(); i++) {
            steps.add(new StepEntry(this, occurrence, i, specs.get(i)));
        }
        if (condensed.contains(occurrence)) {
            steps.forEach(StepEntry::markAllDone);
        }
        return steps;
    }

    boolean hasTask(int occurrence, int step, int index) {
        List<StepSpec> specs = job.spec().steps();
        return occurrence < job.spec().schedule().occurrences()
                && step < specs.size()
                && index < specs.get(step).count();
    }

    /**
     * Returns whether tasks of an occurrence may have been started: it was due when the job was
     * accepted, or has been created or restored since. Of a job that has ended all are taken, so
     * that their runs are stopped.
     */
    boolean mayHaveBegun(int occurrence) {
        return isFinal()
                || job.spec().schedule().dueAtMillis(occurrence) <= job.acceptedAtMillis()
                || occurrences.containsKey(occurrence)
                || condensed.contains(occurrence);
    }

    /** Returns the steps of all occurrences created so far. */
    Stream<StepEntry> steps() {
        return occurrences.values().stream().flatMap(List::stream);
    }

    /** Returns the number of tasks that end by themselves, have begun and are not done. */
    int begunTaskCount() {
        return begunTaskCount;
    }

    /** Counts tasks that begin, or that are done and need not be kept any more. */
    void addBegunTasks(int difference) {
        begunTaskCount += difference;
    }

    /** Returns how the progress of this job is stored. */
    ProgressLayout layout() {
        return layout;
    }

    /** Returns the term in which the progress was first stored in parts. */
    long partsTerm() {
        return partsTerm;
    }

    /** Stores the progress in parts from now on. */
    void moveToParts(long term) {
        layout = ProgressLayout.MOVING_TO_PARTS;
        partsTerm = term;
    }

    /** Records that all progress is stored in parts. */
    void storedInParts() {
        layout = ProgressLayout.PARTS;
    }

    /** Restores that an earlier holder stored the progress in parts. */
    void restoreParts(long term) {
        layout = ProgressLayout.PARTS;
        partsTerm = term;
    }

    /** Returns whether a worker has reported a run of a task of this job. */
    boolean hasRun() {
        return hasRun;
    }

    /** Records that a worker has reported a run of a task of this job. */
    void markHasRun() {
        hasRun = true;
    }

    /**
     * Records a failed run; returns whether it may be the worker's fault.
     *
     * <p>A job of which a run has failed on another worker, and none has ended well since, is more
     * likely at fault than each of its workers.
     */
    boolean recordFailure(String worker) {
        if (firstFailedWorker.isEmpty()) {
            firstFailedWorker = worker;
        }
        return firstFailedWorker.equals(worker);
    }

    /** Records a run that ended well. */
    void recordSuccess() {
        firstFailedWorker = "";
    }

    /** Records that a worker has told of a run that goes on or has ended. */
    void recordRun(long now) {
        hasRun = true;
        lastRanAt = now;
    }

    /**
     * Returns when this holder was last told of a run of this job, in milliseconds; the arrival of
     * the job if it was told of none.
     */
    long lastRanAt() {
        return lastRanAt;
    }

    /**
     * Creates the occurrences that are due, as long as few of them have not begun, and not too many
     * are open.
     */
    void createDueOccurrences(long wallMillis) {
        Schedule schedule = job.spec().schedule();
        if (nextOccurrence >= schedule.occurrences()) {
            return;
        }
        while (occurrences.containsKey(nextOccurrence) || condensed.contains(nextOccurrence)) {
            nextOccurrence = condensed.nextMissing(nextOccurrence + 1);
        }
        int maxOpen = JobSizeLimits.maxOpenOccurrences(job.spec());
        long waiting = occurrences.values().stream().filter(o -> !hasBegun(o)).count();
        while (nextOccurrence < schedule.occurrences()
                && schedule.dueAtMillis(nextOccurrence) <= wallMillis
                && waiting < JobSizeLimits.MAX_WAITING_OCCURRENCES
                && occurrences.size() < maxOpen) {
            occurrence(nextOccurrence);
            nextOccurrence++;
            waiting++;
        }
    }

    private static boolean hasBegun(List<StepEntry> occurrence) {
        return occurrence.stream().anyMatch(s -> !s.begunPools().isEmpty());
    }

    boolean isDone() {
        long listed =
                occurrences.entrySet().stream()
                        .filter(e -> !condensed.contains(e.getKey()) && isDone(e.getValue()))
                        .count();
        return condensed.size() + listed == job.spec().schedule().occurrences();
    }

    private static boolean isDone(List<StepEntry> occurrence) {
        return occurrence.stream().allMatch(StepEntry::isDone);
    }

    /** Returns the done occurrences whose steps are not kept, but for those with open runs. */
    List<IndexRange> condensedOccurrences() {
        return condensed.toList();
    }

    boolean isCondensed(int occurrence) {
        return condensed.contains(occurrence);
    }

    /** Restores the occurrences that an earlier holder stored as done. */
    void restoreDoneOccurrences(List<IndexRange> ranges) {
        ranges.forEach(condensed::addAll);
    }

    /**
     * Drops the steps of done occurrences once these are many, so that a job that repeats often
     * takes memory, and space in its rows, by what is not done; returns whether any were dropped.
     */
    boolean condenseDoneOccurrences() {
        List<Integer> done =
                occurrences.entrySet().stream()
                        .filter(e -> isDone(e.getValue()))
                        .map(Map.Entry::getKey)
                        .toList();
        boolean listed = condensed.size() == 0 && layout == ProgressLayout.ONE_ROW;
        if (done.isEmpty() || listed && done.size() <= JobSizeLimits.MAX_LISTED_OCCURRENCES) {
            return false;
        }
        done.forEach(condensed::add);
        occurrences.entrySet().removeIf(e -> isDone(e.getValue()) && keepsNoTask(e.getValue()));
        return true;
    }

    private static boolean keepsNoTask(List<StepEntry> occurrence) {
        return occurrence.stream().allMatch(s -> s.tasks().kept().isEmpty());
    }
}
