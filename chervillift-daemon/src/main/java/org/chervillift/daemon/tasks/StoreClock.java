package org.chervillift.daemon.tasks;

/**
 * What the store's steady clock showed, which is the same for all processes.
 *
 * @param storeMillis the store's time, in milliseconds, or 0 if it is not known
 * @param seenAt when the store's answer came, in milliseconds of this process
 */
record StoreClock(long storeMillis, long seenAt) {

    /** A clock gains less than a millisecond in this time on another one. */
    private static final long LEAST_MILLIS_PER_GAINED_MILLI = 1_000;

    /** No answer of the store has told its time yet. */
    static final StoreClock UNKNOWN = new StoreClock(0, 0);

    boolean isKnown() {
        return storeMillis > 0;
    }

    /** Returns the store's time at a moment, too early by the time that the answer took. */
    long at(long now) {
        return storeMillis + now - seenAt;
    }

    /**
     * Returns the one of this and a newer reading that is less too early.
     *
     * <p>This one may have become too late, as the process's clock may be the faster one.
     */
    StoreClock orBetter(StoreClock newer) {
        long now = newer.seenAt();
        long mostGain = (now - seenAt) / LEAST_MILLIS_PER_GAINED_MILLI;
        boolean better = !isKnown() || newer.at(now) >= at(now) - mostGain;
        return newer.isKnown() && better ? newer : this;
    }
}
