package org.chervillift.core.tasks.placement;

/**
 * Measures how often tasks want a place in one rack.
 *
 * <p>The load that it addresses: more tasks want a rack than it can serve. A place there is then
 * taken soon after it is free, so that little is gained by waiting for it, and each wait makes the
 * next one longer.
 */
public final class RackDemand {

    /** Long against a wait of a job of which nothing runs, and short against a surge of 8 s. */
    private static final double MEMORY_MILLIS = 5_000;

    private double recentTasks;
    private long updatedAt;

    /** Records tasks that want a place, at a time in milliseconds. */
    public void record(long tasks, long now) {
        recentTasks = recentAt(now) + tasks;
        updatedAt = now;
    }

    /** Returns the mean time from one task to the next, in milliseconds. */
    public double meanGapMillis(long now) {
        return MEMORY_MILLIS / recentAt(now);
    }

    private double recentAt(long now) {
        return recentTasks * Math.exp(-Math.max(0, now - updatedAt) / MEMORY_MILLIS);
    }
}
