package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.api.tasks.JobFailure;
import org.chervillift.api.tasks.JobState;
import org.chervillift.api.tasks.JobStatus;

/**
 * The stored progress of a job, from which a new holder continues.
 *
 * <p>The progress of a large job is stored in parts, each in a row of its own, and its first row
 * holds the rest ({@link JobProgressHead}).
 *
 * @param term the term of the holder that wrote the progress
 * @param state the job's state
 * @param steps the steps whose tasks may have been started; empty once the state is final
 * @param failure why the job has failed; empty also in rows of earlier releases
 * @param doneOccurrences the occurrences all of whose steps are done, if they are many; else their
 *     steps are listed
 * @param partsTerm the term in which the progress was first stored in parts, if it is; parts that
 *     an earlier holder left do not count
 */
public record JobProgress(
        long term,
        JobState state,
        List<StepProgress> steps,
        Optional<JobFailure> failure,
        List<IndexRange> doneOccurrences,
        Optional<Long> partsTerm) {

    public JobProgress {
        Checks.notNull("state", state);
        partsTerm = partsTerm == null ? Optional.empty() : partsTerm;
        steps = steps == null && partsTerm.isPresent() ? List.of() : List.copyOf(steps);
        failure = failure == null ? Optional.empty() : failure;
        doneOccurrences = doneOccurrences == null ? List.of() : List.copyOf(doneOccurrences);
    }

    /** Creates the progress of a job that is stored in one row. */
    public JobProgress(
            long term,
            JobState state,
            List<StepProgress> steps,
            Optional<JobFailure> failure,
            List<IndexRange> doneOccurrences) {
        this(term, state, steps, failure, doneOccurrences, Optional.empty());
    }

    /** Creates the progress of a job that has not failed. */
    public JobProgress(long term, JobState state, List<StepProgress> steps) {
        this(term, state, steps, Optional.empty(), List.of());
    }

    /** Returns whether a part belongs to this progress. */
    public boolean includes(ProgressPart part) {
        return !state.isFinal()
                && partsTerm.isPresent()
                && part.term() >= partsTerm.get()
                && doneOccurrences.stream().noneMatch(r -> r.contains(part.tasks().occurrence()));
    }

    /** Returns this progress with the steps that are stored in parts. */
    public JobProgress withParts(List<ProgressPart> parts) {
        List<StepProgress> all = new ArrayList<>(steps);
        parts.stream().filter(this::includes).map(ProgressPart::tasks).forEach(all::add);
        return new JobProgress(term, state, all, failure, doneOccurrences, partsTerm);
    }

    /** Returns what callers are told. */
    public JobStatus status() {
        return new JobStatus(state, failure);
    }

    /**
     * One occurrence of a step whose tasks may have been started; or a part of it, if the progress
     * is stored in parts.
     *
     * @param occurrence the occurrence, counted from 0
     * @param step the step's number, counted from 0
     * @param done the indexes of the tasks that are done, if they are few
     * @param failures the failed runs of tasks that are not done
     * @param pools the pools in which tasks may have been started; empty if these are not known, as
     *     in rows of earlier releases
     * @param doneRanges the indexes of the tasks that are done, if they are many
     */
    public record StepProgress(
            int occurrence,
            int step,
            List<Integer> done,
            List<TaskFailures> failures,
            List<String> pools,
            List<IndexRange> doneRanges) {
        public StepProgress {
            done = List.copyOf(done);
            failures = List.copyOf(failures);
            pools = pools == null ? List.of() : List.copyOf(pools);
            doneRanges = doneRanges == null ? List.of() : List.copyOf(doneRanges);
        }

        /** Returns whether a task is done. */
        boolean hasDone() {
            return !done.isEmpty() || !doneRanges.isEmpty();
        }
    }

    /**
     * A range of indexes.
     *
     * @param first the lowest index
     * @param last the highest index
     */
    public record IndexRange(int first, int last) {
        public IndexRange {
            Checks.notNegative("first", first);
            Checks.inRange("last", last, first, Integer.MAX_VALUE);
        }

        /** Returns whether an index is in this range. */
        public boolean contains(int index) {
            return first <= index && index <= last;
        }
    }

    /**
     * The runs of a task that failed, and those whose workers crashed.
     *
     * @param task the task's index
     * @param runs the numbers of the failed runs
     * @param crashes the crashes under the task; rows of earlier releases lack them
     */
    public record TaskFailures(int task, List<Integer> runs, TaskCrashes crashes) {
        public TaskFailures {
            runs = List.copyOf(runs);
            crashes = crashes == null ? TaskCrashes.NONE : crashes;
        }
    }

    /**
     * The runs of a task whose workers crashed, and what may follow.
     *
     * @param confirmed the numbers of the runs that the workers had confirmed
     * @param alone those of them that had their worker to themselves
     * @param unconfirmed the numbers of the runs that the workers had not confirmed
     * @param started the open runs of a task under which a worker has crashed
     */
    public record TaskCrashes(
            List<Integer> confirmed,
            List<Integer> alone,
            List<Integer> unconfirmed,
            List<StartedRun> started) {

        /** No crash. */
        public static final TaskCrashes NONE =
                new TaskCrashes(List.of(), List.of(), List.of(), List.of());

        public TaskCrashes {
            confirmed = List.copyOf(confirmed);
            alone = List.copyOf(alone);
            unconfirmed = List.copyOf(unconfirmed);
            started = List.copyOf(started);
        }
    }

    /**
     * A run that has been started, or will be once this is stored.
     *
     * @param run the run's number
     * @param worker the worker's identifier
     * @param bornAtMillis when the worker's lifetime began, in milliseconds since 1970 UTC; 0 if
     *     unknown
     */
    public record StartedRun(int run, String worker, long bornAtMillis) {
        public StartedRun {
            Checks.notBlank("worker", worker);
        }
    }
}
