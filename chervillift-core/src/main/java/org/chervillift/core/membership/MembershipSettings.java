package org.chervillift.core.membership;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Times and bounds of membership.
 *
 * @param heartbeatInterval time between two heartbeats to a peer
 * @param suspectAfter a member of the own data centre or with a link that was not heard for this
 *     long is suspected
 * @param indirectSuspectAfter the same for a member that only others hear
 * @param goneAfter a member that was not heard for this long is gone if a later list lacks it
 * @param maxListAge how old the content of the platform's list may be
 * @param fetchTimeout a fetch without an answer is tried elsewhere after this time
 * @param storeStaleAfter the store counts as down when it answered nothing for this long
 * @param linksToDataCentre links between two data centres
 * @param summariesInside members told of in one heartbeat within the data centre
 * @param summariesAcross members told of in one heartbeat to another data centre
 * @param mostLoads upstreams told of in one heartbeat
 */
public record MembershipSettings(
        Duration heartbeatInterval,
        Duration suspectAfter,
        Duration indirectSuspectAfter,
        Duration goneAfter,
        Duration maxListAge,
        Duration fetchTimeout,
        Duration storeStaleAfter,
        int linksToDataCentre,
        int summariesInside,
        int summariesAcross,
        int mostLoads) {

    private static final int MAX_COUNT = 64;

    /** The settings that the product runs with. */
    public static final MembershipSettings DEFAULT =
            new MembershipSettings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(3_500),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(30),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(3),
                    2,
                    2,
                    4,
                    12);

    public MembershipSettings {
        Checks.that(heartbeatInterval.isPositive(), "heartbeatPeriod must be positive");
        Checks.that(
                suspectAfter.compareTo(heartbeatInterval.multipliedBy(2)) > 0,
                "suspectAfter must be longer than two heartbeats");
        Checks.that(
                indirectSuspectAfter.compareTo(suspectAfter) >= 0,
                "indirectSuspectAfter must not be shorter than suspectAfter");
        Checks.that(goneAfter.compareTo(suspectAfter) > 0, "goneAfter must follow suspectAfter");
        Checks.that(!maxListAge.isNegative(), "listLag must not be negative");
        Checks.that(fetchTimeout.isPositive(), "fetchTimeout must be positive");
        Checks.that(storeStaleAfter.isPositive(), "storeStaleAfter must be positive");
        Checks.inRange("linksToDataCentre", linksToDataCentre, 1, MAX_COUNT);
        Checks.inRange("summariesInside", summariesInside, 0, MAX_COUNT);
        Checks.inRange("summariesAcross", summariesAcross, 0, MAX_COUNT);
        Checks.inRange("mostLoads", mostLoads, 0, MAX_COUNT);
    }
}
