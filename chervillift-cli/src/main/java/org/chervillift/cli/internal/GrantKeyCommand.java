package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Grants a key to a team. */
public final class GrantKeyCommand implements Command {

    @Override
    public String name() {
        return "grant-key";
    }

    @Override
    public String arguments() {
        return "TEAM";
    }

    @Override
    public String summary() {
        return "Grants a new key to a team and prints it once.";
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        String body = Json.encode(new GrantRequest(line.getArgList().get(0)));
        HttpAnswer answer = client.send(HttpMethod.POST, "/operator/v1/keys", body);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        Granted granted = Json.decode(answer.body(), Granted.class);
        return Outcome.done(
                "Key %s is granted. It is shown only now: %s"
                        .formatted(granted.id(), granted.key()),
                answer.body());
    }

    private record GrantRequest(String team) {}

    private record Granted(String id, String key, long version) {}
}
