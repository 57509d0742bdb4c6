package org.chervillift.core.limits;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * The durations and sizes that control how permits are leased and exchanged.
 *
 * @param leaseDuration how long an entry VM may use its permits without reaching the platform
 * @param renewInterval the time between lease renewals, and between reads of all leases
 * @param maxClockSkew the assumed greatest difference between the clocks of two VMs
 * @param maxPause the assumed longest pause of a process between lease check and send
 * @param maxRunTime the longest time that a request can run at an upstream
 * @param idleReturnDelay how long permits must be unused before they are returned
 * @param pollInterval the time between two reads of a team row by an entry VM that lacks permits
 * @param minRequestSpacing the shortest time between two requests to the platform
 * @param reservePercent the percentage of a limit that all entry VMs together keep while idle
 * @param batch the maximum number of teams in one transaction
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

    /** The defaults. */
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
        Checks.that(
                leaseDuration.compareTo(renewInterval) > 0,
                "leaseDuration must exceed renewInterval");
        Checks.that(!maxClockSkew.isNegative(), "maxClockSkew must not be negative");
        Checks.that(!maxPause.isNegative(), "maxPause must not be negative");
        Checks.that(!maxRunTime.isNegative(), "maxRunTime must not be negative");
        Checks.that(idleReturnDelay.isPositive(), "idleReturnDelay must be positive");
        Checks.that(pollInterval.isPositive(), "pollInterval must be positive");
        Checks.that(!minRequestSpacing.isNegative(), "minRequestSpacing must not be negative");
        Checks.inRange("reservePercent", reservePercent, 0, 100);
        Checks.inRange("batch", batch, 1, 1_000);
    }

    /** Returns how long after the expiry of a lease its permits must not be reclaimed. */
    public Duration reclaimDelay() {
        return maxClockSkew.plus(maxPause).plus(maxRunTime);
    }
}
