package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import org.apache.commons.cli.CommandLine;
import org.chervillift.api.ChervilliftException;
import org.chervillift.core.keys.GeneratedKey;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/**
 * Grants a key to a team.
 *
 * <p>The key is made here, and only its hash is sent.
 */
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
        GeneratedKey key = GeneratedKey.generate(line.getArgList().get(0), new SecureRandom());
        String id = key.grant().id();
        byte[] body = Json.encode(key.grant()).getBytes(StandardCharsets.UTF_8);
        HttpAnswer answer;
        try {
            answer = client.sendChange(HttpMethod.POST, "/operator/v1/keys", body);
        } catch (ChervilliftException e) {
            throw new ChervilliftException(e.code(), withdrawHint(id), e);
        }
        if (!answer.isSuccess()) {
            return refused(answer, id);
        }
        KeyChanged changed = Json.decode(answer.body(), KeyChanged.class);
        Granted granted =
                new Granted(
                        id,
                        key.grant().team(),
                        key.key(),
                        changed.ringVersion(),
                        changed.everywhereBy());
        return Outcome.done(
                "Key %s is granted. It is shown only now: %s".formatted(id, key.key()),
                Json.encode(granted));
    }

    private static Outcome refused(HttpAnswer answer, String id) {
        Outcome outcome = Answered.refused(answer);
        return outcome.exitCode() == Outcome.UNKNOWN
                ? new Outcome(
                        Outcome.UNKNOWN, outcome.text() + " " + withdrawHint(id), outcome.json())
                : outcome;
    }

    private static String withdrawHint(String id) {
        return "Key " + id + " may be granted, but it is not shown. Withdraw it and grant another.";
    }

    private record KeyChanged(long ringVersion, String everywhereBy) {}

    private record Granted(
            String id, String team, String key, long ringVersion, String everywhereBy) {}
}
