package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Withdraws a key. */
public final class WithdrawKeyCommand implements Command {

    @Override
    public String name() {
        return "withdraw-key";
    }

    @Override
    public String arguments() {
        return "KEY-ID";
    }

    @Override
    public String summary() {
        return "Withdraws a key by its identifier.";
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) throws ParseException {
        String id = line.getArgList().get(0);
        if (!id.matches("[0-9a-f]{1,64}")) {
            throw new ParseException("KEY-ID is the part of a key before the dot.");
        }
        HttpAnswer answer =
                client.sendChange(HttpMethod.DELETE, "/operator/v1/keys/" + id, new byte[0]);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        KeyChanged changed = Json.decode(answer.body(), KeyChanged.class);
        String first =
                changed.changed()
                        ? "Key " + id + " is withdrawn."
                        : "Key " + id + " is not in force. Nothing was changed.";
        String text =
                "%s The keys are at version %d. No entry VM takes new work with it after %s."
                        .formatted(first, changed.ringVersion(), changed.everywhereBy());
        return Outcome.done(text, answer.body());
    }

    private record KeyChanged(long ringVersion, boolean changed, String everywhereBy) {}
}
