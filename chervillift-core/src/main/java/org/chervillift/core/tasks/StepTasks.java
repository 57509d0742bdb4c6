package org.chervillift.core.tasks;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.NavigableMap;
import java.util.NoSuchElementException;
import java.util.Optional;
import java.util.TreeMap;
import org.chervillift.core.tasks.JobProgress.IndexRange;

/**
 * The tasks of a step.
 *
 * <p>A caller chooses how many tasks a step has. Only tasks that have begun and are not done are
 * kept as objects, so that a step takes memory by what runs of it, not by its size.
 */
final class StepTasks {

    private final StepEntry step;
    private final int count;
    private final IndexRanges done = new IndexRanges();
    private final NavigableMap<Integer, TaskEntry> kept = new TreeMap<>();

    /** The task that was found last and is not kept; a step that waits is asked for it often. */
    private Optional<TaskEntry> lastFound = Optional.empty();

    StepTasks(StepEntry step, int count) {
        this.step = step;
        this.count = count;
    }

    /** Returns how many tasks the step has. */
    int count() {
        return count;
    }

    /** Returns a task to record something of it; it is kept unless it is done. */
    TaskEntry get(int index) {
        TaskEntry task = find(index);
        if (!isKept(task)) {
            keep(task);
        }
        return task;
    }

    private TaskEntry find(int index) {
        TaskEntry task = kept.get(index);
        if (task != null) {
            return task;
        }
        if (lastFound.isEmpty() || lastFound.get().index() != index) {
            lastFound = Optional.of(new TaskEntry(step, index));
        }
        return lastFound.get();
    }

    /** Keeps a task from now on, unless it is done and has no run. */
    void keep(TaskEntry task) {
        if (!isUnneeded(task) && kept.put(task.index(), task) == null) {
            addBegunTasks(1);
        }
    }

    /** Drops a task that is done and has no open run. */
    void dropIfUnneeded(TaskEntry task) {
        if (isUnneeded(task) && kept.remove(task.index()) != null) {
            addBegunTasks(-1);
        }
    }

    /** Counts tasks that begin or are dropped; long-running ones never make room for others. */
    private void addBegunTasks(int difference) {
        if (!step.spec().longRunning()) {
            step.job().addBegunTasks(difference);
        }
    }

    private boolean isUnneeded(TaskEntry task) {
        return task.runs().isEmpty() && (task.isDone() || step.job().isFinal());
    }

    /** Returns the tasks that have begun and are not done, or that have open runs. */
    Collection<TaskEntry> kept() {
        return kept.values();
    }

    /** Returns the kept tasks of a range of indexes, the last one included. */
    Collection<TaskEntry> kept(int first, int last) {
        return kept.subMap(first, true, last, true).values();
    }

    /** Drops the tasks without open runs, once the job is in a final state. */
    void dropUnneeded() {
        int before = kept.size();
        kept.values().removeIf(this::isUnneeded);
        addBegunTasks(kept.size() - before);
    }

    boolean isDone(int index) {
        return done.contains(index);
    }

    int doneCount() {
        return done.size();
    }

    boolean allDone() {
        return done.size() == count;
    }

    /** Marks a task as done; returns false if it was done before. */
    boolean markDone(int index) {
        boolean added = done.add(index);
        TaskEntry task = kept.get(index);
        if (task != null) {
            dropIfUnneeded(task);
        }
        return added;
    }

    /** Marks all tasks of a range as done. */
    void markDone(IndexRange range) {
        done.addAll(range);
        dropUnneeded();
    }

    /** Returns the ranges of the indexes of done tasks. */
    List<IndexRange> doneRanges() {
        return done.toList();
    }

    /** Returns the number of the tasks that are not done and have no open run. */
    long waitingCount() {
        long withRuns =
                kept.values().stream().filter(t -> !t.isDone() && !t.runs().isEmpty()).count();
        return (long) count - done.size() - withRuns;
    }

    /**
     * Returns the tasks that are not done and have no open run: first those that have begun before.
     *
     * <p>Tasks may be started and ended during the iteration. A task that has not begun is not kept
     * unless it is started.
     */
    Iterable<TaskEntry> waiting() {
        return WaitingIterator::new;
    }

    private List<TaskEntry> waitingOfKept() {
        return kept.isEmpty()
                ? List.of()
                : kept.values().stream().filter(TaskEntry::isWaiting).toList();
    }

    private final class WaitingIterator implements Iterator<TaskEntry> {

        private final Iterator<TaskEntry> begun = waitingOfKept().iterator();
        private int nextIndex = nextNotBegun(0);

        private int nextNotBegun(int from) {
            int index = done.nextMissing(from);
            while (index < count && kept.containsKey(index)) {
                index = done.nextMissing(index + 1);
            }
            return index;
        }

        @Override
        public boolean hasNext() {
            return begun.hasNext() || nextIndex < count;
        }

        @Override
        public TaskEntry next() {
            if (begun.hasNext()) {
                return begun.next();
            }
            if (nextIndex >= count) {
                throw new NoSuchElementException();
            }
            TaskEntry task = find(nextIndex);
            nextIndex = nextNotBegun(nextIndex + 1);
            return task;
        }
    }

    /** Returns whether something is recorded of a task. */
    boolean isKept(TaskEntry task) {
        return kept.containsKey(task.index());
    }

    /** Returns all tasks, for a step that starts as a whole. */
    List<TaskEntry> all() {
        List<TaskEntry> all = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            all.add(find(i));
        }
        return all;
    }
}
