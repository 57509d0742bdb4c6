package org.chervillift.core.tasks;

/**
 * Decides when a process may give up its lease because its holder does not work, and when it may
 * take one again.
 *
 * <p>The pauses grow, so that a fault that meets each holder does not make the fleet elect a new
 * one again and again.
 */
public final class HolderReplacement {

    private static final long FIRST_PAUSE_MILLIS = 5_000;
    private static final long MAX_PAUSE_MILLIS = 160_000;

    /** Other processes take a lease that was given back within this time. */
    private static final long MAX_TAKEOVER_PAUSE_MILLIS = 20_000;

    /** After this time without a replacement the pauses start anew. */
    private static final long RESET_MILLIS = 600_000;

    /** Before any real time, and far enough from Long.MIN_VALUE that subtraction can't overflow. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long givenUpAt = NEVER;

    /** Records that this process has given up its lease. */
    public void recordGivenUp(long now) {
        boolean again = now - givenUpAt < RESET_MILLIS;
        pauseMillis = again ? Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS) : FIRST_PAUSE_MILLIS;
        givenUpAt = now;
    }

    /** Returns whether a holder that was started at a time, and does not work, may be replaced. */
    public boolean mayReplace(long startedAt, long now) {
        return now - startedAt >= pauseMillis;
    }

    /** Returns whether this process may take over a lease; others go first. */
    public boolean mayTakeOver(long now) {
        return now - givenUpAt >= Math.min(pauseMillis, MAX_TAKEOVER_PAUSE_MILLIS);
    }
}
