package org.chervillift.core.tasks.admission;

import org.chervillift.api.Checks;

/**
 * Figures with the time at which they were true.
 *
 * @param figures the figures
 * @param asOfMillis when they were true, by the store's clock in milliseconds; 0 if unknown
 */
public record PublishedFigures(FleetFigures figures, long asOfMillis) {

    /** Figures that are older reject nothing: the holder may be lost, or another may be elected. */
    static final long MAX_AGE_MILLIS = 2_000;

    /** No figures were read. */
    public static final PublishedFigures NONE = new PublishedFigures(FleetFigures.UNKNOWN, 0);

    public PublishedFigures {
        Checks.notNull("figures", figures);
    }

    /**
     * Returns the figures, or unknown ones if they are too old.
     *
     * @param now the latest time that the store's clock may show, in milliseconds; earlier than the
     *     figures if that clock was reset
     */
    FleetFigures at(long now) {
        long age = now - asOfMillis;
        boolean fresh = asOfMillis > 0 && age >= 0 && age <= MAX_AGE_MILLIS;
        return fresh ? figures : FleetFigures.UNKNOWN;
    }
}
