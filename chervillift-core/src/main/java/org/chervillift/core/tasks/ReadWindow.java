package org.chervillift.core.tasks;

/**
 * Congestion window for reads from the store: limits the number of rows in flight.
 *
 * <p>The time that a read takes beyond the fastest read is queueing delay behind other reads on the
 * link. The window grows while this delay is below the target and shrinks while it is above, so
 * that other calls on the link wait behind reads for about the target time, however slow the link
 * is. The latency of the store itself does not count.
 */
public final class ReadWindow {

    private static final int MIN_ROWS = 4;
    private static final int INITIAL_ROWS = 80;
    private static final int MAX_ROWS = 10_000;
    private static final double TARGET_WAIT_MILLIS = 150;

    /**
     * When even the fastest read of a round is delayed this much, the window drops to its minimum,
     * to measure again how fast the store is.
     */
    private static final long RESET_WAIT_MILLIS = 450;

    private static final double MAX_RESIZE_FACTOR = 4;
    private static final double MIN_RESIZE_FACTOR = 0.5;

    private double rows = INITIAL_ROWS;
    private int openReads;
    private long fastestMillis = Long.MAX_VALUE;
    private long fastestInRoundMillis = Long.MAX_VALUE;
    private long slowestInRoundMillis;
    private int readsInRound;
    private int endedInRound;
    private boolean failedInRound;

    /** Returns how many rows may be in flight. */
    public int rows() {
        return (int) rows;
    }

    /**
     * Returns how many rows one read requests.
     *
     * @param reads the number of reads that share the window
     */
    public int rowsPerRead(int reads) {
        return Math.max(MIN_ROWS, rows() / reads);
    }

    /** Records that a read was sent. */
    public void readSent() {
        openReads++;
        if (endedInRound == 0) {
            readsInRound = openReads;
        }
    }

    /**
     * Records that a read was answered.
     *
     * @param millis how long the read took
     */
    public void readAnswered(long millis) {
        fastestInRoundMillis = Math.min(fastestInRoundMillis, millis);
        slowestInRoundMillis = Math.max(slowestInRoundMillis, millis);
        readEnded();
    }

    /** Records that a read failed. */
    public void readFailed() {
        failedInRound = true;
        readEnded();
    }

    private void readEnded() {
        openReads--;
        endedInRound++;
        if (endedInRound >= readsInRound) {
            endRound();
            fastestInRoundMillis = Long.MAX_VALUE;
            slowestInRoundMillis = 0;
            endedInRound = 0;
            readsInRound = openReads;
            failedInRound = false;
        }
    }

    private void endRound() {
        if (failedInRound) {
            resize(MIN_RESIZE_FACTOR);
            return;
        }
        // With so few rows in flight there is no queueing delay: the time measured is the store's.
        boolean atMinimum = rows() <= MIN_ROWS;
        fastestMillis =
                atMinimum ? fastestInRoundMillis : Math.min(fastestMillis, fastestInRoundMillis);
        if (fastestInRoundMillis - fastestMillis > RESET_WAIT_MILLIS) {
            rows = MIN_ROWS;
        } else {
            resize(TARGET_WAIT_MILLIS / Math.max(1, slowestInRoundMillis - fastestMillis));
        }
    }

    private void resize(double factor) {
        double next = rows * Math.clamp(factor, MIN_RESIZE_FACTOR, MAX_RESIZE_FACTOR);
        rows = Math.clamp(next, MIN_ROWS, MAX_ROWS);
    }
}
