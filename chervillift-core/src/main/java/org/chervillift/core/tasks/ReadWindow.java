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

    private static final int MIN_ROWS = 4;
    private static final int INITIAL_ROWS = 80;
    private static final int MAX_ROWS = 10_000;
    private static final double TARGET_WAIT_MILLIS = 150;

    /** When even the fastest read waits so long, it is found out whether the store is slow. */
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

    /** Returns how many rows may be asked for and not have come yet. */
    public int rows() {
        return (int) rows;
    }

    /**
     * Returns how many rows one read asks for.
     *
     * @param reads how many reads share the window
     */
    public int rowsPerRead(int reads) {
        return Math.max(MIN_ROWS, rows() / reads);
    }

    /** Notes that a read was sent. */
    public void readSent() {
        openReads++;
        if (endedInRound == 0) {
            readsInRound = openReads;
        }
    }

    /**
     * Notes that a read was answered.
     *
     * @param millis how long it took
     */
    public void readAnswered(long millis) {
        fastestInRoundMillis = Math.min(fastestInRoundMillis, millis);
        slowestInRoundMillis = Math.max(slowestInRoundMillis, millis);
        readEnded();
    }

    /** Notes that a read failed. */
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
        // With so little under way, what is slow is the store.
        boolean least = rows() <= MIN_ROWS;
        fastestMillis =
                least ? fastestInRoundMillis : Math.min(fastestMillis, fastestInRoundMillis);
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
