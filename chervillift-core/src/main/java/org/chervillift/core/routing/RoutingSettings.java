package org.chervillift.core.routing;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Bounds of the choice among upstreams.
 *
 * @param addedSlotDelay how long a slot that moved here from another entry VM stays unused
 * @param leavingTimeout how long an upstream's own word that it leaves outweighs the list
 * @param busyBackoff how long an upstream that said busy is passed over
 * @param relayBackoff how long an entry VM without room is passed over
 * @param initialEjection how long a failing upstream gets nothing before its first trial
 * @param maxEjection the upper bound of that time, which doubles with each failed trial
 */
public record RoutingSettings(
        Duration addedSlotDelay,
        Duration leavingTimeout,
        Duration busyBackoff,
        Duration relayBackoff,
        Duration initialEjection,
        Duration maxEjection) {

    /** Holds of a few seconds. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(50),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(60));

    public RoutingSettings {
        Checks.that(!addedSlotDelay.isNegative(), "slotHold must not be negative");
        Checks.that(!leavingTimeout.isNegative(), "leavingHold must not be negative");
        Checks.that(!busyBackoff.isNegative(), "busyHold must not be negative");
        Checks.that(!relayBackoff.isNegative(), "relayHold must not be negative");
        Checks.that(initialEjection.isPositive(), "firstEjection must be positive");
        Checks.that(
                maxEjection.compareTo(initialEjection) >= 0,
                "longestEjection must not be below firstEjection");
    }
}
