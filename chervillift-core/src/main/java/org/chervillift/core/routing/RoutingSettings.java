package org.chervillift.core.routing;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Durations that control the choice among upstreams.
 *
 * @param addedSlotDelay how long a slot that moved here from another entry VM stays unused, because
 *     the other one may still use it
 * @param leavingTimeout how long an upstream's own report that it is leaving overrides the list
 * @param busyBackoff how long an upstream that answered busy is not chosen
 * @param relayBackoff how long an entry VM without a free slot is not chosen
 * @param initialEjection how long a failing upstream gets no requests before its first trial
 * @param maxEjection the upper bound of that duration, which doubles with each failed trial
 */
public record RoutingSettings(
        Duration addedSlotDelay,
        Duration leavingTimeout,
        Duration busyBackoff,
        Duration relayBackoff,
        Duration initialEjection,
        Duration maxEjection) {

    /** The defaults. */
    public static final RoutingSettings DEFAULT =
            new RoutingSettings(
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(30),
                    Duration.ofMillis(50),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(60));

    public RoutingSettings {
        Checks.that(!addedSlotDelay.isNegative(), "addedSlotDelay must not be negative");
        Checks.that(!leavingTimeout.isNegative(), "leavingTimeout must not be negative");
        Checks.that(!busyBackoff.isNegative(), "busyBackoff must not be negative");
        Checks.that(!relayBackoff.isNegative(), "relayBackoff must not be negative");
        Checks.that(initialEjection.isPositive(), "initialEjection must be positive");
        Checks.that(
                maxEjection.compareTo(initialEjection) >= 0,
                "maxEjection must not be below initialEjection");
    }
}
