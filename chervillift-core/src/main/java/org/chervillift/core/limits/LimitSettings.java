package org.chervillift.core.limits;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The times and sizes that rule how permits move.
 *
 * @param leaseTerm how long an entry VM uses its permits without reaching the platform
 * @param renewEvery how often the lease is renewed and the leases of others are read
 * @param clockError the greatest difference between the clocks of two VMs
 * @param longestPause the longest pause of a process between its lease check and the send
 * @param longestRun the hard bound of a request's run at an upstream
 * @param idleReturn permits that were idle this long go back
 * @param pollEvery how often an entry VM that lacks permits asks again
 * @param spacing the least time between two uses of the platform
 * @param reservePercent the part of a limit, spread over all entry VMs, that is kept while idle
 * @param batch the most teams in one transaction
 */
public record LimitSettings(
        Duration leaseTerm,
        Duration renewEvery,
        Duration clockError,
        Duration longestPause,
        Duration longestRun,
        Duration idleReturn,
        Duration pollEvery,
        Duration spacing,
        int reservePercent,
        int batch) {

    /** The values of a fleet that sets none. */
    public static final LimitSettings DEFAULT =
            new LimitSettings(
                    Duration.ofHours(1),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(120),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(250),
                    10,
                    16);

    public LimitSettings {
        Checks.that(leaseTerm.compareTo(renewEvery) > 0, "leaseTerm must exceed renewEvery");
        Checks.that(!clockError.isNegative(), "clockError must not be negative");
        Checks.that(!longestPause.isNegative(), "longestPause must not be negative");
        Checks.that(!longestRun.isNegative(), "longestRun must not be negative");
        Checks.that(idleReturn.isPositive(), "idleReturn must be positive");
        Checks.that(pollEvery.isPositive(), "pollEvery must be positive");
        Checks.that(!spacing.isNegative(), "spacing must not be negative");
        Checks.inRange("reservePercent", reservePercent, 0, 100);
        Checks.inRange("batch", batch, 1, 1_000);
    }

    /** Returns how long after the end of a lease its permits stay out of use. */
    public Duration reclaimAfter() {
        return clockError.plus(longestPause).plus(longestRun);
    }
}
