package org.chervillift.core.claims;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Limits for the claims of one entry VM.
 *
 * @param fleetCommitsPerSecond the maximum rate of transactions of all entry VMs together
 * @param mostInGroup the maximum number of claims in one transaction
 * @param mostWaiting the maximum number of claims that wait for an answer; further ones are refused
 * @param mostInFlight the maximum number of transactions in flight
 * @param resendDelay the delay before a transaction without a reply is sent again
 * @param maxRunTime the maximum run time of a claimed request, after which its outcome counts as
 *     lost
 */
public record ClaimSettings(
        int fleetCommitsPerSecond,
        int mostInGroup,
        int mostWaiting,
        int mostInFlight,
        Duration resendDelay,
        Duration maxRunTime) {

    /** The default limits, with 200 transactions a second for the fleet. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(200, 64, 4096, 8, Duration.ofMillis(500), Duration.ofMinutes(10));

    public ClaimSettings {
        Checks.inRange("fleetCommitsPerSecond", fleetCommitsPerSecond, 1, 100_000);
        Checks.inRange("mostInGroup", mostInGroup, 1, 1_000);
        Checks.inRange("mostWaiting", mostWaiting, 1, 1_000_000);
        Checks.inRange("mostInFlight", mostInFlight, 1, 1_000);
        Checks.that(resendDelay.isPositive(), "resendDelay must be positive");
        Checks.that(maxRunTime.isPositive(), "maxRunTime must be positive");
    }

    /** Returns the minimum time between two transactions of one entry VM. */
    public Duration commitInterval(int liveEntryVms) {
        long vms = Math.max(1, liveEntryVms);
        return Duration.ofNanos(Duration.ofSeconds(1).toNanos() * vms / fleetCommitsPerSecond);
    }
}
