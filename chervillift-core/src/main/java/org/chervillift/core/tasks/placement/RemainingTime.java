package org.chervillift.core.tasks.placement;

/** Expects how long a run still takes. */
public final class RemainingTime {

    /** A run that takes this many times as long as expected is expected to take as long again. */
    private static final long OVERDUE_FACTOR = 3;

    private static final double FULL_PACE_PERCENT = 100;

    private RemainingTime() {}

    /**
     * Returns the remaining time of a run, in milliseconds; {@link RoomForecast#NEVER} if nothing
     * can be expected.
     *
     * @param expectedMillis how long the whole run takes; 0 if that is not known
     * @param elapsedMillis how long it has taken so far
     * @param pacePercent the pace in force
     */
    public static long millis(long expectedMillis, long elapsedMillis, int pacePercent) {
        if (expectedMillis <= 0 || pacePercent <= 0) {
            return RoomForecast.NEVER;
        }
        long elapsed = Math.max(0, elapsedMillis);
        return Math.round(atFullPace(expectedMillis, elapsed) * FULL_PACE_PERCENT / pacePercent);
    }

    private static long atFullPace(long expected, long elapsed) {
        if (elapsed < expected) {
            return expected - elapsed;
        }
        boolean farOverdue = elapsed / OVERDUE_FACTOR >= expected;
        return farOverdue ? elapsed : elapsed - expected;
    }
}
