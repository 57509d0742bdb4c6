package org.chervillift.runtime.events;

import java.util.HashMap;
import java.util.Map;
import org.chervillift.api.Checks;

/**
 * Bounds how many lines of each event are written in a second.
 *
 * <p>The lines beyond the bound are counted; the count is told with the first line of a later
 * second.
 */
public final class LogBudget {

    private static final long WINDOW_MILLIS = 1_000;

    private final int linesPerSecond;
    private final Map<Integer, Window> windows = new HashMap<>();

    private static final class Window {
        private long startedAt;
        private int written;
        private long leftOut;
    }

    /**
     * Creates a budget.
     *
     * @param linesPerSecond the most lines of one event in a second
     */
    public LogBudget(int linesPerSecond) {
        this.linesPerSecond =
                (int) Checks.inRange("linesPerSecond", linesPerSecond, 1, Integer.MAX_VALUE);
    }

    /**
     * Takes a line.
     *
     * @return how many lines were left out before this one, or a negative number if this line is
     *     left out as well
     */
    public synchronized long take(int event, long nowMillis) {
        Window window = windows.computeIfAbsent(event, e -> new Window());
        long leftOutBefore = 0;
        if (nowMillis - window.startedAt >= WINDOW_MILLIS) {
            window.startedAt = nowMillis;
            window.written = 0;
            leftOutBefore = window.leftOut;
            window.leftOut = 0;
        }
        if (window.written >= linesPerSecond) {
            window.leftOut++;
            return -1;
        }
        window.written++;
        return leftOutBefore;
    }
}
