package org.chervillift.daemon.tasks;

/**
 * A reading of the store's monotonic clock, which is the same for all processes.
 *
 * @param storeMillis the store's time, in milliseconds, or 0 if unknown
 * @param readAtMillis when the store's answer arrived, by this process's monotonic clock
 */
record StoreClock(long storeMillis, long readAtMillis) {

    /** Two clocks drift apart by less than one millisecond in this time. */
    private static final long MIN_MILLIS_PER_DRIFT_MILLI = 1_000;

    /** The reading before any answer of the store has contained its time. */
    static final StoreClock UNKNOWN = new StoreClock(0, 0);

    boolean isKnown() {
        return storeMillis > 0;
    }

    /** Estimates the store's time at a moment; too early by the latency of the answer. */
    long storeMillisAt(long now) {
        return storeMillis + now - readAtMillis;
    }

    /**
     * Returns whichever of this and a newer reading gives the later estimate.
     *
     * <p>This reading's estimate is first reduced by the largest possible drift, since the
     * process's clock may be faster than the store's.
     */
    StoreClock moreAccurateOf(StoreClock newer) {
        long now = newer.readAtMillis();
        long maxDriftMillis = (now - readAtMillis) / MIN_MILLIS_PER_DRIFT_MILLI;
        boolean newerIsBetter =
                !isKnown() || newer.storeMillisAt(now) >= storeMillisAt(now) - maxDriftMillis;
        return newer.isKnown() && newerIsBetter ? newer : this;
    }
}
