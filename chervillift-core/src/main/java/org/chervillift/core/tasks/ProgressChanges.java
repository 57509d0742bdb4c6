package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Tracks the rows of progress that are to be stored again, each since its first change.
 *
 * <p>The rows of jobs go before the parts of large jobs, so that these do not delay the others; but
 * a share of each batch is left to the parts.
 */
final class ProgressChanges {

    private static final int SHARE_OF_PARTS = 2;

    private final Map<Target, Change> jobs = new LinkedHashMap<>();
    private final Map<Target, Change> parts = new LinkedHashMap<>();
    private final long term;
    private long changeCount;

    /** What a row holds the progress of. */
    sealed interface Target {
        JobEntry job();

        /** A job. */
        record OfJob(JobEntry job) implements Target {}

        /** Some tasks of a step. */
        record OfPart(StepEntry step, int number) implements Target {
            @Override
            public JobEntry job() {
                return step.job();
            }
        }
    }

    /** The numbers of the first and of the last change that the stored row lacks. */
    private record Change(long first, long last) {

        Change plus(Change other) {
            return new Change(Math.min(first, other.first), Math.max(last, other.last));
        }
    }

    /**
     * Creates a tracker without changes.
     *
     * @param term the term of this holder
     */
    ProgressChanges(long term) {
        this.term = term;
    }

    /** Returns the number of changes so far. */
    long changeCount() {
        return changeCount;
    }

    /** Returns whether the row of a job lacks a change. */
    boolean isUnstored(JobEntry job) {
        return jobs.containsKey(new Target.OfJob(job));
    }

    /** Records that the state of a job, or the occurrences that are done, have changed. */
    void jobChanged(JobEntry job) {
        boolean moving = job.layout() == ProgressLayout.MOVING_TO_PARTS && !job.isFinal();
        add(moving ? parts : jobs, new Target.OfJob(job));
    }

    /** Records that another task of a step is done, or that it has begun in another pool. */
    void stepChanged(StepEntry step) {
        partChanged(step, ProgressPart.DONE_TASKS);
    }

    /** Records that the failed or crashed runs of a task have changed. */
    void taskChanged(TaskEntry task) {
        partChanged(task.step(), ProgressPart.numberOf(task));
    }

    private void partChanged(StepEntry step, int number) {
        JobEntry job = step.job();
        if (job.layout() == ProgressLayout.ONE_ROW || job.isFinal()) {
            jobChanged(job);
        } else if (!job.isCondensed(step.occurrence())) {
            add(parts, new Target.OfPart(step, number));
        }
    }

    private void add(Map<Target, Change> changes, Target target) {
        changeCount++;
        changes.merge(target, new Change(changeCount, changeCount), Change::plus);
    }

    /** Records that occurrences of a job are condensed: its row says all that their parts said. */
    void occurrencesCondensed(JobEntry job) {
        OptionalLong first =
                removeParts(
                        t ->
                                t instanceof Target.OfPart part
                                        && part.job() == job
                                        && job.isCondensed(part.step().occurrence()));
        jobChangedSince(job, first);
    }

    /** Records that a job is in a final state: its row says all that its parts said. */
    void jobEnded(JobEntry job) {
        OptionalLong first =
                job.layout() == ProgressLayout.ONE_ROW
                        ? OptionalLong.empty()
                        : removeParts(t -> t.job() == job);
        jobChangedSince(job, first);
    }

    /** Forgets the changes of some parts; returns the number of the first of them. */
    private OptionalLong removeParts(Predicate<Target> which) {
        OptionalLong first =
                parts.entrySet().stream()
                        .filter(e -> which.test(e.getKey()))
                        .mapToLong(e -> e.getValue().first())
                        .min();
        parts.keySet().removeIf(which);
        return first;
    }

    /** Records that the row of a job lacks changes which other rows would have held. */
    private void jobChangedSince(JobEntry job, OptionalLong first) {
        jobChanged(job);
        Target target = new Target.OfJob(job);
        Map<Target, Change> changes = jobs.containsKey(target) ? jobs : parts;
        first.ifPresent(f -> changes.merge(target, new Change(f, f), Change::plus));
    }

    /** Stores a job in parts from now on; its row is replaced once all parts are stored. */
    void moveToParts(JobEntry job) {
        job.moveToParts(term);
        Change before = jobs.remove(new Target.OfJob(job));
        job.condenseDoneOccurrences();
        job.steps().filter(s -> !s.begunPools().isEmpty()).forEach(this::allPartsChanged);
        jobChangedSince(
                job, before == null ? OptionalLong.empty() : OptionalLong.of(before.first()));
    }

    private void allPartsChanged(StepEntry step) {
        stepChanged(step);
        TreeSet<Integer> numbers = new TreeSet<>();
        step.tasks().kept().stream()
                .filter(ProgressSnapshot::hasFailures)
                .forEach(t -> numbers.add(ProgressPart.numberOf(t)));
        numbers.forEach(n -> partChanged(step, n));
    }

    /** Returns the rows that are to be stored next, at most some. */
    List<Target> next(int most) {
        int shareOfParts = Math.min(parts.size(), Math.max(1, most / SHARE_OF_PARTS));
        int ofJobs = Math.min(jobs.size(), most - shareOfParts);
        int ofParts = Math.min(parts.size(), most - ofJobs);
        List<Target> next = new ArrayList<>(ofJobs + ofParts);
        jobs.keySet().stream().limit(ofJobs).forEach(next::add);
        parts.keySet().stream().limit(ofParts).forEach(next::add);
        return next;
    }

    /** Returns whether there are more changed rows than some. */
    boolean isMoreThan(int rows) {
        return jobs.size() + parts.size() > rows;
    }

    /** Returns the row to store for a target. */
    ProgressRow rowOf(Target target) {
        return switch (target) {
            case Target.OfJob t
                    when t.job().layout() == ProgressLayout.ONE_ROW || t.job().isFinal() ->
                    ProgressSnapshot.whole(t.job(), term);
            case Target.OfJob t -> ProgressSnapshot.head(t.job(), term);
            case Target.OfPart t -> ProgressSnapshot.part(t.step(), t.number(), term);
        };
    }

    /**
     * Records that a row is stored; it stays changed if it has changed since.
     *
     * @param asOf the number of changes when its content was taken
     */
    void markStored(Target target, ProgressRow row, long asOf) {
        Map<Target, Change> changes = jobs.containsKey(target) ? jobs : parts;
        Change change = changes.remove(target);
        if (change == null) {
            return;
        }
        if (change.last() > asOf && !row.equals(rowOf(target))) {
            changes.put(target, new Change(asOf + 1, change.last()));
        }
        if (row instanceof ProgressRow.Head) {
            target.job().storedInParts();
        }
    }

    /** Forgets that a row is to be stored, since it cannot be. */
    void leaveUnstored(Target target) {
        jobs.remove(target);
        parts.remove(target);
    }

    /** Returns the number of changes up to which all are stored. */
    long storedUpTo() {
        return Stream.of(jobs, parts)
                .flatMap(m -> m.values().stream())
                .mapToLong(c -> c.first() - 1)
                .min()
                .orElse(changeCount);
    }
}
