package org.chervillift.core.tasks.placement;

import org.chervillift.api.SaturatedMath;

/**
 * Decides whether a second run of a task pays while its first run goes on.
 *
 * <p>The load that it addresses: single runs that take many times as long as others of their queue,
 * on which their job waits.
 *
 * @param expectedMillis how long runs of the queue take; 0 if that is not known
 * @param deviationMillis by how much runs take longer than that, as one deviation
 * @param elapsedMillis how long the first run has taken
 * @param remainingMillis how long it is still expected to take
 */
public record CopyGain(
        long expectedMillis, long deviationMillis, long elapsedMillis, long remainingMillis) {

    /** A run is late once it has taken this many times as long as expected, and one deviation. */
    private static final long LATE_FACTOR = 2;

    /** Returns whether the first run takes so long that a copy comes into question. */
    public boolean isLate() {
        long usual =
                SaturatedMath.add(
                        SaturatedMath.multiply(expectedMillis, LATE_FACTOR), deviationMillis);
        return expectedMillis > 0 && elapsedMillis > usual;
    }

    /**
     * Returns whether a copy pays.
     *
     * @param copyMillis how long the copy is expected to take
     */
    public boolean pays(long copyMillis) {
        return isLate() && copyMillis < remainingMillis;
    }
}
