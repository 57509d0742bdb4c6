package org.chervillift.api.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.chervillift.api.Checks;

/**
 * What one process tells another about the freshness of keys, with each heartbeat.
 *
 * <p>The times count from the moment at which the teller received the latest stamp of the other
 * one. The other one adds them to the moment at which it sent that stamp, so no common clock is
 * needed and a late message only shortens them.
 *
 * @param ringVersion the version of the ring that the teller holds
 * @param membersVersion the version of the members that the teller has read
 * @param fresh how long the teller itself takes keyed work with that ring; zero or less for not
 * @param promise for how long the teller answers no withdrawal; empty if it gives no promise
 * @param resigned whether the teller stops for good and answers no withdrawal any more
 * @param groups what the teller knows of the members of each data centre
 */
public record PeerFreshness(
        long ringVersion,
        long membersVersion,
        Duration fresh,
        Optional<Duration> promise,
        boolean resigned,
        List<Group> groups) {
    public PeerFreshness {
        Checks.notNegative("ringVersion", ringVersion);
        Checks.notNegative("membersVersion", membersVersion);
        Checks.notNull("fresh", fresh);
        Checks.notNull("promise", promise);
        groups = List.copyOf(groups);
    }

    /**
     * The members of one data centre together.
     *
     * @param dataCentre the data centre
     * @param membersVersion the version of the members that each of them has read
     * @param vouched how long their promises allow keyed work; zero for not
     */
    public record Group(String dataCentre, long membersVersion, Duration vouched) {
        public Group {
            Checks.notBlank("dataCentre", dataCentre);
            Checks.notNegative("membersVersion", membersVersion);
            Checks.notNull("vouched", vouched);
        }
    }
}
