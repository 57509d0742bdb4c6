package org.chervillift.core.tasks.admission;

import java.time.Duration;

/**
 * Spreads the retries of callers that were rejected at the same time.
 *
 * <p>Addresses surges and outages, in which many callers are rejected at once. Times are whole
 * seconds, as HTTP sends them. They are derived from the identifier of the job, so that a caller
 * that retries early gets no shorter time.
 */
public final class RetryTimes {

    static final long MIN_SECONDS = 1;
    static final long MAX_SECONDS = 30;

    /** The most that is added, as a part of the time. */
    private static final double MAX_JITTER = 0.25;

    /** In a shorter outage another process may serve the caller, who may retry soon. */
    private static final long LONG_OUTAGE_MILLIS = 5_000;

    /** Over how many seconds the callers of a long outage are spread. */
    private static final int LONG_OUTAGE_SPREAD_SECONDS = 2;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int FRACTION_BITS = 20;
    private static final double FRACTIONS = 1 << FRACTION_BITS;

    private RetryTimes() {}

    /**
     * Returns how long the caller of a job that has to wait for others waits before a retry.
     *
     * @param waitMillis for how long it has to wait, in milliseconds
     */
    public static Duration afterBacklog(String jobId, long waitMillis) {
        double longest = MAX_SECONDS / (1 + MAX_JITTER);
        double seconds = Math.clamp(waitMillis / MILLIS_PER_SECOND, MIN_SECONDS, longest);
        int hash = hashOf(jobId);
        double spread = seconds * (1 + MAX_JITTER * fractionOf(hash));
        // A time between two seconds goes to either by another part of the hash, so that also
        // short times are spread.
        double rounded = Math.floor(spread + fractionOf(Integer.rotateLeft(hash, FRACTION_BITS)));
        return Duration.ofSeconds(Math.clamp((long) rounded, MIN_SECONDS, MAX_SECONDS));
    }

    /**
     * Returns how long the caller of a request that was not processed waits before a retry.
     *
     * @param request what identifies the request, such as its path
     * @param outageMillis for how long the process could not process any, in milliseconds
     */
    public static Duration afterOutage(String request, long outageMillis) {
        if (outageMillis < LONG_OUTAGE_MILLIS) {
            return Duration.ofSeconds(MIN_SECONDS);
        }
        int more = Math.floorMod(hashOf(request), LONG_OUTAGE_SPREAD_SECONDS);
        return Duration.ofSeconds(MIN_SECONDS + more);
    }

    /** Returns a hash whose bits all depend on the whole identifier (finalizer of MurmurHash3). */
    private static int hashOf(String text) {
        int hash = text.hashCode();
        hash = (hash ^ hash >>> 16) * 0x85ebca6b;
        hash = (hash ^ hash >>> 13) * 0xc2b2ae35;
        return hash ^ hash >>> 16;
    }

    private static double fractionOf(int hash) {
        return (hash >>> Integer.SIZE - FRACTION_BITS) / FRACTIONS;
    }
}
