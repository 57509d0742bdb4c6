package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.time.Instant;
import java.util.Arrays;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Shows the last versions of the configuration. */
public final class HistoryCommand implements Command {

    @Override
    public String name() {
        return "history";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Shows the last versions, the newest first.";
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return true;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        HttpAnswer answer = client.send(HttpMethod.GET, "/operator/v1/history");
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        ConfigHead[] heads = Json.decode(answer.body(), ConfigHead[].class);
        String text =
                heads.length == 0
                        ? "No sheet was applied yet."
                        : Arrays.stream(heads)
                                .map(HistoryCommand::line)
                                .collect(Collectors.joining("\n"));
        return Outcome.done(text, answer.body());
    }

    private static String line(ConfigHead head) {
        return "version %d applied by %s at %s"
                .formatted(
                        head.version(),
                        head.operator(),
                        Instant.ofEpochMilli(head.appliedAtMillis()));
    }
}
