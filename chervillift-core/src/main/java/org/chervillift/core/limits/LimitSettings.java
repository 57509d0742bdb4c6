package org.chervillift.core.limits;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The times and sizes that rule how permits move.
 *
 * @param leaseDuration how long an entry VM uses its permits without reaching the platform
 * @param renewInterval how often the lease is renewed and the leases of others are read
 * @param maxClockSkew the greatest difference between the clocks of two VMs
 * @param maxPause the longest pause of a process between its lease check and the send
 * @param maxRunTime the hard bound of a request's run at an upstream
 * @param idleReturnDelay permits that were idle this long go back
 * @param pollInterval how often an entry VM that lacks permits asks again
 * @param minRequestSpacing the least time between two uses of the platform
 * @param reservePercent the part of a limit, spread over all entry VMs, that is kept while idle
 * @param batch the most teams in one transaction
 */
public record LimitSettings(
        Duration leaseDuration,
        Duration renewInterval,
        Duration maxClockSkew,
        Duration maxPause,
        Duration maxRunTime,
        Duration idleReturnDelay,
        Duration pollInterval,
        Duration minRequestSpacing,
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
        Checks.that(leaseDuration.compareTo(renewInterval) > 0, "leaseTerm must exceed renewEvery");
        Checks.that(!maxClockSkew.isNegative(), "clockError must not be negative");
        Checks.that(!maxPause.isNegative(), "longestPause must not be negative");
        Checks.that(!maxRunTime.isNegative(), "longestRun must not be negative");
        Checks.that(idleReturnDelay.isPositive(), "idleReturn must be positive");
        Checks.that(pollInterval.isPositive(), "pollEvery must be positive");
        Checks.that(!minRequestSpacing.isNegative(), "spacing must not be negative");
        Checks.inRange("reservePercent", reservePercent, 0, 100);
        Checks.inRange("batch", batch, 1, 1_000);
    }

    /** Returns how long after the end of a lease its permits stay out of use. */
    public Duration reclaimDelay() {
        return maxClockSkew.plus(maxPause).plus(maxRunTime);
    }
}
