package org.chervillift.daemon.tasks;

/**
 * What the store's steady clock showed, which is the same for all processes.
 *
 * @param storeMillis the store's time, in milliseconds, or 0 if it is not known
 * @param seenAt when the store's answer came, in milliseconds of this process
 */
record StoreClock(long storeMillis, long seenAt) {

    /** No answer of the store has told its time yet. */
    static final StoreClock UNKNOWN = new StoreClock(0, 0);

    boolean isKnown() {
        return storeMillis > 0;
    }

    /** Returns the store's time at a moment, too early by the time that the answer took. */
    long at(long now) {
        return storeMillis + now - seenAt;
    }

    /** Returns the one of this and a newer reading that is less too early. */
    StoreClock orBetter(StoreClock newer) {
        boolean better = !isKnown() || newer.at(newer.seenAt()) >= at(newer.seenAt());
        return newer.isKnown() && better ? newer : this;
    }
}
