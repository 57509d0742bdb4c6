package org.chervillift.daemon.internal.operator;

import io.activej.http.HttpMethod;
import io.activej.http.RoutingServlet;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.chervillift.api.Checks;
import org.chervillift.core.membership.HeardVia;
import org.chervillift.core.membership.Member;
import org.chervillift.core.membership.MemberState;
import org.chervillift.core.membership.Membership;
import org.chervillift.core.membership.NodeIdentity;
import org.chervillift.core.membership.Versions;
import org.chervillift.http.Answers;
import org.chervillift.runtime.supervision.Scheduler;

/** Serves the state of the fleet's daemons as known to this process. */
public final class MemberRoutes implements OperatorRoutes {

    private final Membership membership;
    private final Scheduler scheduler;

    /** Creates the routes. */
    public MemberRoutes(Membership membership, Scheduler scheduler) {
        this.membership = Checks.notNull("membership", membership);
        this.scheduler = Checks.notNull("scheduler", scheduler);
    }

    @Override
    public void addTo(RoutingServlet.Builder routes) {
        routes.with(
                HttpMethod.GET, "/v1/members", r -> Answers.json(createResponse(scheduler.now())));
    }

    private MembersResponse createResponse(Instant now) {
        List<MemberEntry> entries = new ArrayList<>();
        entries.add(ownEntry());
        membership.members().forEach(m -> entries.add(toEntry(m, now)));
        Optional<Long> readAgeMillis =
                membership.storeReadAt().map(r -> Duration.between(r, now).toMillis());
        return new MembersResponse(membership.self().id(), readAgeMillis, entries);
    }

    private MemberEntry ownEntry() {
        return toEntry(membership.self(), MemberState.ALIVE, "self", membership.held(), 0, 0);
    }

    private static MemberEntry toEntry(Member m, Instant now) {
        long heardAgeMillis = m.heardAt().map(h -> Duration.between(h, now).toMillis()).orElse(-1L);
        long stateAgeMillis = Duration.between(m.since(), now).toMillis();
        return toEntry(
                m.node(),
                m.state(),
                routeName(m.route()),
                m.versions(),
                heardAgeMillis,
                stateAgeMillis);
    }

    private static MemberEntry toEntry(
            NodeIdentity node,
            MemberState state,
            String route,
            Versions versions,
            long heardAgeMillis,
            long stateAgeMillis) {
        return new MemberEntry(
                node.id(),
                node.dataCentre(),
                node.incarnation(),
                state.name().toLowerCase(Locale.ROOT),
                stateAgeMillis,
                heardAgeMillis,
                route,
                versions.config(),
                versions.keyRing());
    }

    private static String routeName(HeardVia route) {
        return switch (route) {
            case NONE -> "none";
            case SAME_DATA_CENTRE_PEER, OTHER_DATA_CENTRE_PEER -> "told";
            case DIRECT_LINK -> "linked";
        };
    }

    /** The response that lists all members, this process first. */
    private record MembersResponse(
            String self, Optional<Long> storeReadAgeMillis, List<MemberEntry> members) {}

    /** One member; a {@code heardAgeMillis} of -1 means that nothing was ever heard of it. */
    private record MemberEntry(
            String id,
            String dataCentre,
            long incarnation,
            String state,
            long stateAgeMillis,
            long heardAgeMillis,
            String route,
            long configVersion,
            long keyRingVersion) {}
}
