package org.chervillift.core.tasks;

/**
 * How many rows are asked of a store at a time.
 *
 * <p>What a read takes beyond the fastest one, it has waited behind other reads on the link. The
 * window grows while that wait is short and shrinks while it is long, so that other calls wait
 * about as short a time behind reads, however slow the link is. The time that the store itself
 * takes does not count.
 */
public final class ReadWindow {

    private static final int LEAST_ROWS = 4;
    private static final int FIRST_ROWS = 80;
    private static final int MOST_ROWS = 10_000;
    private static final double MEANT_WAIT_MILLIS = 150;

    /** When even the fastest read waits so long, it is found out whether the store is slow. */
    private static final long LONG_WAIT_MILLIS = 450;

    private static final double MOST_GROWTH = 4;
    private static final double MOST_SHRINKING = 0.5;

    private double rows = FIRST_ROWS;
    private int open;
    private long fastest = Long.MAX_VALUE;
    private long fastestOfRound = Long.MAX_VALUE;
    private long slowestOfRound;
    private int readsOfRound;
    private int endedOfRound;
    private boolean failedInRound;

    /** Returns how many rows may be asked for and not have come yet. */
    public int rows() {
        return (int) rows;
    }

    /**
     * Returns how many rows one read asks for.
     *
     * @param reads how many reads share the window
     */
    public int rowsOfRead(int reads) {
        return Math.max(LEAST_ROWS, rows() / reads);
    }

    /** Notes that a read was sent. */
    public void sent() {
        open++;
        if (endedOfRound == 0) {
            readsOfRound = open;
        }
    }

    /**
     * Notes that a read was answered.
     *
     * @param millis how long it took
     */
    public void answered(long millis) {
        fastestOfRound = Math.min(fastestOfRound, millis);
        slowestOfRound = Math.max(slowestOfRound, millis);
        ended();
    }

    /** Notes that a read failed. */
    public void failed() {
        failedInRound = true;
        ended();
    }

    private void ended() {
        open--;
        endedOfRound++;
        if (endedOfRound >= readsOfRound) {
            endRound();
            fastestOfRound = Long.MAX_VALUE;
            slowestOfRound = 0;
            endedOfRound = 0;
            readsOfRound = open;
            failedInRound = false;
        }
    }

    private void endRound() {
        if (failedInRound) {
            resize(MOST_SHRINKING);
            return;
        }
        // With so little under way, what is slow is the store.
        boolean least = rows() <= LEAST_ROWS;
        fastest = least ? fastestOfRound : Math.min(fastest, fastestOfRound);
        if (fastestOfRound - fastest > LONG_WAIT_MILLIS) {
            rows = LEAST_ROWS;
        } else {
            resize(MEANT_WAIT_MILLIS / Math.max(1, slowestOfRound - fastest));
        }
    }

    private void resize(double factor) {
        double next = rows * Math.clamp(factor, MOST_SHRINKING, MOST_GROWTH);
        rows = Math.clamp(next, LEAST_ROWS, MOST_ROWS);
    }
}
