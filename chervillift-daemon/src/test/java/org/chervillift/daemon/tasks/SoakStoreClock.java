package org.chervillift.daemon.tasks;

/** The store's clock as processes see it: may start anew, and may be slower than theirs. */
final class SoakStoreClock {

    private static final long NEW_START = 1_000;

    private long from;
    private long value;
    private double rate = 1;
    private long latest;

    /** Returns what the clock shows at a time of the stand-in. */
    long convert(long millis) {
        latest = Math.max(latest, millis);
        return value + Math.round((millis - from) * rate);
    }

    /** Lets the clock start anew. */
    void restart() {
        from = latest;
        value = NEW_START;
    }

    /** Lets the clock run at another rate from now on. */
    void rate(double newest) {
        value = convert(latest);
        from = latest;
        rate = newest;
    }
}
