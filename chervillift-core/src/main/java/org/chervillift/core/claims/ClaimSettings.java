package org.chervillift.core.claims;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Bounds of the claims of one entry VM.
 *
 * @param fleetCommitsPerSecond transactions of all entry VMs in a second
 * @param mostInGroup claims in one transaction
 * @param mostWaiting claims that wait for a transaction; further ones are refused
 * @param mostInFlight transactions without an answer
 * @param resendDelay how long an unanswered transaction waits before it is sent again
 * @param longestRun how long a claimed request may go on before its end counts as lost
 */
public record ClaimSettings(
        int fleetCommitsPerSecond,
        int mostInGroup,
        int mostWaiting,
        int mostInFlight,
        Duration resendDelay,
        Duration longestRun) {

    /** Two hundred transactions a second in all. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(200, 64, 4096, 8, Duration.ofMillis(500), Duration.ofMinutes(10));

    public ClaimSettings {
        Checks.inRange("fleetCommitsPerSecond", fleetCommitsPerSecond, 1, 100_000);
        Checks.inRange("mostInGroup", mostInGroup, 1, 1_000);
        Checks.inRange("mostWaiting", mostWaiting, 1, 1_000_000);
        Checks.inRange("mostInFlight", mostInFlight, 1, 1_000);
        Checks.that(resendDelay.isPositive(), "resendDelay must be positive");
        Checks.that(longestRun.isPositive(), "longestRun must be positive");
    }

    /** Returns the least time between two transactions of one of so many entry VMs. */
    public Duration commitInterval(int liveEntryVms) {
        long vms = Math.max(1, liveEntryVms);
        return Duration.ofNanos(Duration.ofSeconds(1).toNanos() * vms / fleetCommitsPerSecond);
    }
}
