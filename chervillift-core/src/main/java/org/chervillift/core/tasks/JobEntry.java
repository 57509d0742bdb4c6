package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.chervillift.api.tasks.AcceptedJob;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.Schedule;
import org.chervillift.api.tasks.StepSpec;

/** The scheduler's state of one job. */
final class JobEntry {

    private final AcceptedJob job;
    private final Map<Integer, List<StepEntry>> occurrences = new HashMap<>();
    private final long arrivedAt;
    private QueuePolicy policy;
    private JobState state = JobState.QUEUED;
    private Optional<JobFailure> failure = Optional.empty();
    private int nextOccurrence;
    private boolean hasRun;

    /**
     * Creates an entry.
     *
     * @param arrivedAt when the job began to wait, on the steady clock in milliseconds
     */
    JobEntry(AcceptedJob job, QueuePolicy policy, long arrivedAt) {
        this.job = job;
        this.policy = policy;
        this.arrivedAt = arrivedAt;
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
        return steps;
    }

    boolean hasTask(int occurrence, int step, int index) {
        List<StepSpec> specs = job.spec().steps();
        return occurrence < job.spec().schedule().occurrences()
                && step < specs.size()
                && index < specs.get(step).count();
    }

    /** Returns the steps of all occurrences created so far. */
    Stream<StepEntry> steps() {
        return occurrences.values().stream().flatMap(List::stream);
    }

    /** Returns the number of tasks that have begun and are not done. */
    int begunTaskCount() {
        return steps().mapToInt(s -> s.tasks().kept().size()).sum();
    }

    /** Returns whether a worker has reported a run of a task of this job. */
    boolean hasRun() {
        return hasRun;
    }

    /** Records that a worker has reported a run of a task of this job. */
    void markHasRun() {
        hasRun = true;
    }

    /** Creates the occurrences that are due, as long as few of them have not begun. */
    void createDueOccurrences(long wallMillis) {
        Schedule schedule = job.spec().schedule();
        while (occurrences.containsKey(nextOccurrence)) {
            nextOccurrence++;
        }
        long waiting = occurrences.values().stream().filter(o -> !hasBegun(o)).count();
        while (nextOccurrence < schedule.occurrences()
                && schedule.dueAtMillis(nextOccurrence) <= wallMillis
                && waiting < JobSizeLimits.MAX_WAITING_OCCURRENCES) {
            occurrence(nextOccurrence);
            nextOccurrence++;
            waiting++;
        }
    }

    private static boolean hasBegun(List<StepEntry> occurrence) {
        return occurrence.stream().anyMatch(s -> !s.begunPools().isEmpty());
    }

    /** Returns whether some occurrences have not been created yet. */
    boolean hasFutureOccurrences() {
        return occurrences.size() < job.spec().schedule().occurrences();
    }

    boolean isDone() {
        return !hasFutureOccurrences() && steps().allMatch(StepEntry::isDone);
    }
}
