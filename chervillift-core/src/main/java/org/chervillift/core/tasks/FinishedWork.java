package org.chervillift.core.tasks;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures the rate at which the pools finish work.
 *
 * <p>Runs may be shorter than expected, so that a pool works off more than its cores suggest.
 */
final class FinishedWork {

    private static final long WINDOW_MILLIS = 4_000;

    private final Map<String, Deque<Finished>> recentByPool = new HashMap<>();

    /**
     * Work that was finished.
     *
     * @param work the expected work, in thousandths of a core times milliseconds
     * @param at when it was finished, in milliseconds
     */
    private record Finished(double work, long at) {}

    /** Records a task that is done. */
    void recordDone(String pool, double work, long now) {
        Deque<Finished> recent = recentByPool.computeIfAbsent(pool, p -> new ArrayDeque<>());
        recent.add(new Finished(work, now));
        removeOld(recent, now);
    }

    private static void removeOld(Deque<Finished> recent, long now) {
        while (!recent.isEmpty() && recent.peekFirst().at() <= now - WINDOW_MILLIS) {
            recent.pollFirst();
        }
    }

    /** Returns the rate of each pool lately, in thousandths of a core. */
    Map<String, Long> milliCoresByPool(long now) {
        Map<String, Long> rates = new HashMap<>();
        recentByPool.forEach(
                (pool, recent) -> {
                    removeOld(recent, now);
                    double sum = recent.stream().mapToDouble(Finished::work).sum();
                    rates.put(pool, Math.round(sum / WINDOW_MILLIS));
                });
        return rates;
    }
}
