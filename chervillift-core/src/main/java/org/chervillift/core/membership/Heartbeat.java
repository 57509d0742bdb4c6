package org.chervillift.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * Says that its sender lives, and what it knows.
 *
 * @param sequence grows by one with each heartbeat of one life
 * @param echo the highest sequence that the sender has received from the addressee, 0 for none
 * @param versions what the sender holds
 * @param readAge how long ago the store was read by the sender or by a node that it hears
 * @param leaving whether the sender stops
 * @param loads the largest loads that the sender puts on upstreams
 * @param members some of the other members
 */
public record Heartbeat(
        long sequence,
        long echo,
        Versions versions,
        Optional<Duration> readAge,
        boolean leaving,
        List<UpstreamLoad> loads,
        List<MemberSummary> members) {
    public Heartbeat {
        Checks.inRange("sequence", sequence, 1, Long.MAX_VALUE);
        Checks.notNegative("echo", echo);
        Checks.notNull("versions", versions);
        Checks.notNull("readAge", readAge);
        loads = List.copyOf(loads);
        members = List.copyOf(members);
    }
}
