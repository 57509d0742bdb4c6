package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Brings a sheet into force. */
public final class ApplyCommand implements Command {

    @Override
    public String name() {
        return "apply";
    }

    @Override
    public String arguments() {
        return "SHEET";
    }

    @Override
    public String summary() {
        return "Brings a sheet into force.";
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        byte[] sheet;
        try {
            sheet = Files.readAllBytes(Path.of(line.getArgList().get(0)));
        } catch (IOException e) {
            return new Outcome(Outcome.USAGE, "The sheet cannot be read.", "{}");
        }
        HttpAnswer answer = client.send(HttpMethod.POST, "/operator/v1/apply", sheet);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        Applied applied = Json.decode(answer.body(), Applied.class);
        return Outcome.done(applied.sentence(), answer.body());
    }

    private record Applied(long version, String sentence) {}
}
