package org.chervillift.core.tasks.relay;

/**
 * How long to wait after failures in a row; the wait doubles with each.
 *
 * @param failures the failures in a row
 * @param until when the wait ends, in milliseconds
 */
record RelayBackOff(int failures, long until) {

    static final long MIN_MILLIS = 100;
    static final long MAX_MILLIS = 2_000;

    static final RelayBackOff NONE = new RelayBackOff(0, Long.MIN_VALUE);

    /** The number of doublings after which the longest wait is reached. */
    private static final int MAX_DOUBLINGS = 5;

    /** Returns the wait after one more failure; failures during a wait do not lengthen it. */
    RelayBackOff afterFailure(long now) {
        if (!isOver(now)) {
            return this;
        }
        long millis = MIN_MILLIS << Math.min(failures, MAX_DOUBLINGS);
        return new RelayBackOff(failures + 1, now + Math.min(millis, MAX_MILLIS));
    }

    boolean isFailing() {
        return failures > 0;
    }

    boolean isOver(long now) {
        return now >= until;
    }
}
