package org.chervillift.core.membership;

import java.time.Duration;
import org.chervillift.api.Checks;

/**
 * Durations and bounds of the membership protocol.
 *
 * @param heartbeatInterval the time between two heartbeats to a peer
 * @param suspectAfter how long a member in the same data centre or with a link must not be heard
 *     before it is suspected
 * @param indirectSuspectAfter the same for a member of which only other members report
 * @param goneAfter how long a member must not be heard before it is gone, if a later list lacks it
 * @param maxListAge how old the content of the platform's list may be when it is read
 * @param fetchTimeout the time without an answer after which a fetch is retried from another source
 * @param storeStaleAfter how long the store must not answer before it counts as down
 * @param linksToDataCentre the number of links between two data centres
 * @param summariesInside the maximum member summaries in a heartbeat within the data centre
 * @param summariesAcross the maximum member summaries in a heartbeat to another data centre
 * @param mostLoads the maximum number of upstream loads in a heartbeat
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

    /** The defaults. */
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
        Checks.that(heartbeatInterval.isPositive(), "heartbeatInterval must be positive");
        Checks.that(
                suspectAfter.compareTo(heartbeatInterval.multipliedBy(2)) > 0,
                "suspectAfter must be longer than two heartbeat intervals");
        Checks.that(
                indirectSuspectAfter.compareTo(suspectAfter) >= 0,
                "indirectSuspectAfter must not be shorter than suspectAfter");
        Checks.that(
                goneAfter.compareTo(suspectAfter) > 0,
                "goneAfter must be longer than suspectAfter");
        Checks.that(!maxListAge.isNegative(), "maxListAge must not be negative");
        Checks.that(fetchTimeout.isPositive(), "fetchTimeout must be positive");
        Checks.that(storeStaleAfter.isPositive(), "storeStaleAfter must be positive");
        Checks.inRange("linksToDataCentre", linksToDataCentre, 1, MAX_COUNT);
        Checks.inRange("summariesInside", summariesInside, 0, MAX_COUNT);
        Checks.inRange("summariesAcross", summariesAcross, 0, MAX_COUNT);
        Checks.inRange("mostLoads", mostLoads, 0, MAX_COUNT);
    }
}
