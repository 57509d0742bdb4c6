package org.chervillift.api.tasks;

import org.chervillift.api.Checks;
import org.chervillift.api.SaturatedMath;

/**
 * How often a job runs, and when.
 *
 * @param occurrences how often the steps run, at least once
 * @param startAtMillis when the first occurrence is due, in milliseconds since 1970 UTC; 0 for at
 *     once
 * @param intervalMillis the time between two occurrences
 */
public record Schedule(int occurrences, long startAtMillis, long intervalMillis) {

    /** The schedule of a job that runs once, as soon as it can. */
    public static final Schedule ONCE = new Schedule(1, 0, 0);

    public Schedule {
        Checks.inRange("occurrences", occurrences, 1, Integer.MAX_VALUE);
        Checks.notNegative("startAtMillis", startAtMillis);
        Checks.notNegative("intervalMillis", intervalMillis);
    }

    /**
     * Returns when an occurrence is due, in milliseconds since 1970 UTC; the latest time if that is
     * later than any.
     */
    public long dueAtMillis(int occurrence) {
        return SaturatedMath.add(startAtMillis, SaturatedMath.multiply(intervalMillis, occurrence));
    }

    /** Returns whether the occurrences have times. */
    public boolean timed() {
        return startAtMillis > 0 || occurrences > 1;
    }
}
