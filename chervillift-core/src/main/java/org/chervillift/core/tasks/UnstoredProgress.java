package org.chervillift.core.tasks;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.chervillift.core.tasks.JobProgress.StepProgress;
import org.chervillift.core.tasks.JobProgress.TaskFailures;

/**
 * A snapshot of the rows of progress that are to be stored next, and of the applied ends of runs.
 */
public final class UnstoredProgress {

    private final List<Entry> entries;
    private final AppliedEnds ends;
    private final long changeCount;
    private final boolean moreChanged;

    /** A row, and what it holds the progress of. */
    private record Entry(ProgressChanges.Target target, ProgressRow row) {}

    private UnstoredProgress(
            List<Entry> entries, AppliedEnds ends, long changeCount, boolean moreChanged) {
        this.entries = List.copyOf(entries);
        this.ends = ends;
        this.changeCount = changeCount;
        this.moreChanged = moreChanged;
    }

    static UnstoredProgress snapshot(ProgressChanges changes, AppliedEnds ends, int mostRows) {
        List<Entry> entries =
                changes.next(mostRows).stream().map(t -> new Entry(t, changes.rowOf(t))).toList();
        return new UnstoredProgress(
                entries, ends, changes.changeCount(), changes.isMoreThan(entries.size()));
    }

    /** Returns the rows to store, in their order. */
    public List<ProgressRow> rows() {
        return entries.stream().map(Entry::row).toList();
    }

    /** Returns the whole progress of the jobs that are stored in one row, by job identifier. */
    public Map<String, JobProgress> progress() {
        Map<String, JobProgress> progress = new LinkedHashMap<>();
        for (Entry entry : entries) {
            if (entry.row() instanceof ProgressRow.Whole row) {
                progress.put(row.jobId(), row.progress());
            }
        }
        return progress;
    }

    /** Returns whether there is nothing to store or to acknowledge. */
    public boolean isEmpty() {
        return entries.isEmpty() && ends.isEmpty();
    }

    /** Returns whether more rows are to be stored than this snapshot holds. */
    public boolean hasMoreChanged() {
        return moreChanged;
    }

    AppliedEnds ends() {
        return ends;
    }

    long changeCount() {
        return changeCount;
    }

    /** Leaves a row out that cannot be stored, so that the others are. */
    void leaveUnstored(int row, ProgressChanges changes) {
        changes.leaveUnstored(entries.get(row).target());
    }

    /** Records that the first rows of this snapshot are stored. */
    void markStored(int rows, ProgressChanges changes) {
        for (Entry entry : entries.subList(0, rows)) {
            markBegun(entry);
            changes.markStored(entry.target(), entry.row(), changeCount);
        }
    }

    /** Marks where the steps of a row are stored as begun, and the crashes of their tasks. */
    private static void markBegun(Entry entry) {
        JobEntry job = entry.target().job();
        switch (entry.row()) {
            case ProgressRow.Whole r -> r.progress().steps().forEach(s -> markBegun(job, s));
            case ProgressRow.Part r -> markBegun(job, r.progress().tasks());
            case ProgressRow.Head r -> {
                // Holds no steps.
            }
        }
    }

    private static void markBegun(JobEntry job, StepProgress stored) {
        if (job.isFinal() || job.isCondensed(stored.occurrence())) {
            return;
        }
        StepEntry step = job.step(stored.occurrence(), stored.step());
        step.begunPools().markStored(stored.pools());
        for (TaskFailures failures : stored.failures()) {
            step.tasks().get(failures.task()).crashes().markStored(failures.crashes());
        }
    }
}
