package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Shows the daemons of the fleet as one of them knows them. */
public final class MembersCommand implements Command {

    private static final String ROW = "%-20s %-12s %-10s %9s %12s %-7s %8s %8s%n";
    private static final double MILLIS_PER_SECOND = 1000.0;

    @Override
    public String name() {
        return "members";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows the daemons of the fleet, as the asked one knows them.";
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return true;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        HttpAnswer answer = client.send(HttpMethod.GET, "/operator/v1/members");
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        Members members = Json.decode(answer.body(), Members.class);
        StringBuilder text = new StringBuilder();
        text.append("As " + members.self() + " knows them. ");
        text.append(
                members.storeReadAgeMillis()
                        .map(a -> "The platform was read " + seconds(a) + " s ago.")
                        .orElse("The platform was never read."));
        text.append('\n');
        text.append(
                row(
                        "member",
                        "data centre",
                        "state",
                        "since s",
                        "heard s",
                        "route",
                        "config",
                        "keys"));
        members.members().forEach(m -> text.append(row(m)));
        return Outcome.done(text.toString().stripTrailing(), answer.body());
    }

    private static String row(Line m) {
        String heard = m.heardAgeMillis() < 0 ? "never" : seconds(m.heardAgeMillis());
        return row(
                m.id(),
                m.dataCentre(),
                m.state(),
                seconds(m.stateAgeMillis()),
                heard,
                m.route(),
                Long.toString(m.configVersion()),
                Long.toString(m.keyRingVersion()));
    }

    private static String row(Object... cells) {
        return ROW.formatted(cells);
    }

    private static String seconds(long millis) {
        return String.format(Locale.ROOT, "%.1f", millis / MILLIS_PER_SECOND);
    }

    private record Members(String self, Optional<Long> storeReadAgeMillis, List<Line> members) {}

    private record Line(
            String id,
            String dataCentre,
            String state,
            long stateAgeMillis,
            long heardAgeMillis,
            String route,
            long configVersion,
            long keyRingVersion) {}
}
