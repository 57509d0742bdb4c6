package org.chervillift.daemon.tasks;

/**
 * What is known of the store's monotonic clock, which is the same for all processes.
 *
 * <p>An answer of the store bounds its clock from both sides: it was stamped between the sending of
 * the call and the arrival of the answer. The bounds of all answers are intersected, and widened
 * with time by the drift of the clocks. If a newer answer contradicts them, the store's clock has
 * started anew or drifts faster, and only the newer bounds hold.
 *
 * @param isKnown whether an answer has contained the store's time
 * @param minOffsetMillis the least that the store's time is ahead of this process's, which may be
 *     negative
 * @param maxOffsetMillis the most that the store's time is ahead of this process's
 * @param widenedAt up to when the bounds allow for drift, by this process's monotonic clock
 * @param formerClockVersion rows up to this version may contain times of a former clock of the
 *     store; 0 if its clock has not changed
 */
record StoreClock(
        boolean isKnown,
        long minOffsetMillis,
        long maxOffsetMillis,
        long widenedAt,
        long formerClockVersion) {

    /** Clocks drift apart by less than one millisecond in this time, unless an answer shows it. */
    private static final long MIN_MILLIS_PER_DRIFT_MILLI = 1_000;

    /** An answer that contradicts the bounds by no more than this shows drift, not a new clock. */
    static final long MAX_DRIFT_SEEN_MILLIS = 1_000;

    /** The knowledge before any answer of the store has contained its time. */
    static final StoreClock UNKNOWN = new StoreClock(false, 0, 0, 0, 0);

    /**
     * The times of one answer of the store.
     *
     * @param storeMillis the store's time in the answer, in milliseconds; 0 if it contains none
     * @param version the newest version of the store in the answer
     * @param sentAt when the call was sent, by this process's monotonic clock
     * @param arrivedAt when the answer arrived, by this process's monotonic clock
     */
    record Stamp(long storeMillis, long version, long sentAt, long arrivedAt) {

        boolean isKnown() {
            return storeMillis > 0;
        }

        private long minOffsetMillis() {
            return storeMillis - arrivedAt;
        }

        private long maxOffsetMillis() {
            return storeMillis - sentAt;
        }
    }

    /** Returns the earliest time that the store's clock may show at a moment, in milliseconds. */
    long earliestStoreMillis(long at) {
        return at + minOffsetMillis;
    }

    /** Returns the latest time that the store's clock may show at a moment, in milliseconds. */
    long latestStoreMillis(long at) {
        return at + maxOffsetMillis;
    }

    /**
     * Returns the earliest moment at which an answer may have been stamped, by this process's
     * clock; no bounds make it earlier than the sending or later than the arrival.
     */
    long earliestStampedAt(Stamp stamp) {
        return isKnown && stamp.isKnown()
                ? Math.clamp(
                        stamp.storeMillis() - maxOffsetMillis, stamp.sentAt(), stamp.arrivedAt())
                : stamp.sentAt();
    }

    /** Returns the bounds after an answer. */
    StoreClock after(Stamp stamp) {
        if (!stamp.isKnown()) {
            return this;
        }
        if (!isKnown) {
            return boundsOf(stamp, 0);
        }
        StoreClock widened = widenedUntil(stamp.arrivedAt());
        return widened.contradictionMillis(stamp) == 0
                ? widened.intersectedWith(stamp)
                : boundsOf(stamp, formerClockVersionAfter(stamp));
    }

    private static StoreClock boundsOf(Stamp stamp, long formerClockVersion) {
        return new StoreClock(
                true,
                stamp.minOffsetMillis(),
                stamp.maxOffsetMillis(),
                stamp.arrivedAt(),
                formerClockVersion);
    }

    private long formerClockVersionAfter(Stamp stamp) {
        return isContradictedBy(stamp)
                ? Math.max(formerClockVersion, stamp.version())
                : formerClockVersion;
    }

    private StoreClock widenedUntil(long now) {
        long driftMillis = Math.max(0, now - widenedAt) / MIN_MILLIS_PER_DRIFT_MILLI;
        return new StoreClock(
                true,
                minOffsetMillis - driftMillis,
                maxOffsetMillis + driftMillis,
                widenedAt + driftMillis * MIN_MILLIS_PER_DRIFT_MILLI,
                formerClockVersion);
    }

    private StoreClock intersectedWith(Stamp stamp) {
        return new StoreClock(
                true,
                Math.max(minOffsetMillis, stamp.minOffsetMillis()),
                Math.min(maxOffsetMillis, stamp.maxOffsetMillis()),
                widenedAt,
                formerClockVersion);
    }

    /** Returns whether an answer shows that the store's clock has started anew or was set. */
    boolean isContradictedBy(Stamp stamp) {
        return Math.abs(contradictionMillis(stamp)) > MAX_DRIFT_SEEN_MILLIS;
    }

    /**
     * Returns how far the store's clock is ahead of these bounds by an answer, in milliseconds;
     * negative if it is behind, and 0 if the answer agrees with the bounds.
     */
    long contradictionMillis(Stamp stamp) {
        if (!isKnown || !stamp.isKnown()) {
            return 0;
        }
        long ahead = Math.max(0, stamp.minOffsetMillis() - maxOffsetMillis);
        long behind = Math.max(0, minOffsetMillis - stamp.maxOffsetMillis());
        return ahead - behind;
    }
}
