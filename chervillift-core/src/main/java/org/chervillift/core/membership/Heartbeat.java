package org.chervillift.core.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * A heartbeat, with which a process shows that it is running and shares what it knows.
 *
 * @param sequence the sequence number, which increases by one with each heartbeat of one
 *     incarnation
 * @param echo the highest sequence number received from the recipient, 0 for none
 * @param versions the versions that the sender holds
 * @param readAge how long ago the store was read by the sender or by a node that reported to it
 * @param leaving whether the sender is shutting down
 * @param loads the upstreams with the most requests of the sender
 * @param members summaries of some other members
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
