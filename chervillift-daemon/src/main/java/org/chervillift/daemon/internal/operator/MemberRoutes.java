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

/** Shows what this process knows of the daemons of the fleet. */
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
        routes.with(HttpMethod.GET, "/v1/members", r -> Answers.json(answer(scheduler.now())));
    }

    private MembersAnswer answer(Instant now) {
        List<MemberLine> lines = new ArrayList<>();
        lines.add(own());
        membership.members().forEach(m -> lines.add(line(m, now)));
        Optional<Long> readAge =
                membership.storeReadAt().map(r -> Duration.between(r, now).toMillis());
        return new MembersAnswer(membership.self().id(), readAge, lines);
    }

    private MemberLine own() {
        return line(membership.self(), MemberState.ALIVE, "self", membership.held(), 0, 0);
    }

    private static MemberLine line(Member m, Instant now) {
        long heardAge = m.heardAt().map(h -> Duration.between(h, now).toMillis()).orElse(-1L);
        long stateAge = Duration.between(m.since(), now).toMillis();
        return line(m.node(), m.state(), word(m.route()), m.versions(), heardAge, stateAge);
    }

    private static MemberLine line(
            NodeIdentity node,
            MemberState state,
            String route,
            Versions versions,
            long heardAgeMillis,
            long stateAgeMillis) {
        return new MemberLine(
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

    private static String word(HeardVia route) {
        return switch (route) {
            case NONE -> "none";
            case SAME_DATA_CENTRE_PEER, OTHER_DATA_CENTRE_PEER -> "told";
            case DIRECT_LINK -> "linked";
        };
    }

    /** All members, this process first. */
    private record MembersAnswer(
            String self, Optional<Long> storeReadAgeMillis, List<MemberLine> members) {}

    /** One member; an age of -1 means that it was never heard. */
    private record MemberLine(
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
