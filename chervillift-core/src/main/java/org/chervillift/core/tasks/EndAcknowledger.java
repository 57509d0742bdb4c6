package org.chervillift.core.tasks;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/** Acknowledges ends of runs to workers once all progress that they caused is stored. */
final class EndAcknowledger {

    private final Deque<Waiting> waiting = new ArrayDeque<>();

    /** Ends that caused only changes up to a number. */
    private record Waiting(long changeCount, AppliedEnds ends) {}

    /**
     * Adds ends that wait for progress to be stored.
     *
     * @param changeCount the number of changes of progress when the ends had been applied
     */
    void add(long changeCount, AppliedEnds ends) {
        boolean unchanged = !waiting.isEmpty() && waiting.getLast().changeCount() == changeCount;
        if (unchanged) {
            waiting.removeLast();
        }
        waiting.add(new Waiting(changeCount, ends));
    }

    /**
     * Acknowledges the ends whose progress is stored.
     *
     * @param storedUpTo the number of changes of progress up to which all are stored
     */
    void acknowledge(long storedUpTo, Map<String, WorkerRecord> workers) {
        while (!waiting.isEmpty() && waiting.getFirst().changeCount() <= storedUpTo) {
            waiting.removeFirst().ends().acknowledge(workers);
        }
    }
}
