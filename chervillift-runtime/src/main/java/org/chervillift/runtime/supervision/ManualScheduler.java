package org.chervillift.runtime.supervision;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A scheduler whose time moves only when it is told to, for experiments and tests. */
public final class ManualScheduler implements Scheduler {

    private static final Comparator<Task> ORDER =
            Comparator.comparing(Task::at).thenComparing(Task::sequence);

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(ORDER);
    private Instant now = Instant.EPOCH;
    private long sequence;

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public Cancellation schedule(Duration delay, Runnable action) {
        Task task = new Task(now.plus(delay), sequence++, action);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    /** Moves the time on and runs each task that falls due, in order. */
    public void advance(Duration step) {
        Instant end = now.plus(step);
        while (!tasks.isEmpty() && !tasks.peek().at().isAfter(end)) {
            Task task = tasks.poll();
            now = task.at();
            task.action().run();
        }
        now = end;
    }

    private record Task(Instant at, long sequence, Runnable action) {}
}
