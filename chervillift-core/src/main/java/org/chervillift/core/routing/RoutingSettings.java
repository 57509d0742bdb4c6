package org.chervillift.core.routing;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Bounds of the choice among upstreams.
 *
 * @param slotHold how long a slot that moved here from another entry VM stays unused
 * @param leavingHold how long an upstream's own word that it leaves outweighs the list
 * @param busyHold how long an upstream that said busy is passed over
 * @param relayHold how long an entry VM without room is passed over
 * @param firstEjection how long a failing upstream gets nothing before its first trial
 * @param longestEjection the upper bound of that time, which doubles with each failed trial
 */
public record RoutingSettings(
        Duration slotHold,
        Duration leavingHold,
        Duration busyHold,
        Duration relayHold,
        Duration firstEjection,
        Duration longestEjection) {

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
        Checks.that(!slotHold.isNegative(), "slotHold must not be negative");
        Checks.that(!leavingHold.isNegative(), "leavingHold must not be negative");
        Checks.that(!busyHold.isNegative(), "busyHold must not be negative");
        Checks.that(!relayHold.isNegative(), "relayHold must not be negative");
        Checks.that(firstEjection.isPositive(), "firstEjection must be positive");
        Checks.that(
                longestEjection.compareTo(firstEjection) >= 0,
                "longestEjection must not be below firstEjection");
    }
}
