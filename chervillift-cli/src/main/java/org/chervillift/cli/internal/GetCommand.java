package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.util.List;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.core.config.ConfigItem;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Shows the configuration or the keys that are in force at one process. */
public final class GetCommand implements Command {

    @Override
    public String name() {
        return "get";
    }

    @Override
    public String arguments() {
        return "config|keys";
    }

    @Override
    public String summary() {
        return "Shows the configuration, or the keys with their teams.";
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return true;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) throws ParseException {
        return switch (line.getArgList().get(0)) {
            case "config" -> get(client, "/operator/v1/config", GetCommand::configText);
            case "keys" -> get(client, "/operator/v1/keys", GetCommand::keysText);
            default -> throw new ParseException("usage: get config|keys");
        };
    }

    private static Outcome get(OperatorClient client, String path, UnaryOperator<String> text) {
        HttpAnswer answer = client.send(HttpMethod.GET, path);
        return answer.isSuccess()
                ? Outcome.done(text.apply(answer.body()), answer.body())
                : Answered.refused(answer);
    }

    private static String configText(String body) {
        FleetConfig config = Json.decode(body, FleetConfig.class);
        return ConfigItem.of(config).stream()
                .map(GetCommand::itemText)
                .collect(Collectors.joining("\n", "Version " + config.version() + "\n", ""));
    }

    private static String itemText(ConfigItem item) {
        return item.kind().label()
                + " "
                + item.name()
                + ": "
                + item.fields().entrySet().stream()
                        .map(e -> e.getKey() + " " + e.getValue())
                        .collect(Collectors.joining(", "));
    }

    private static String keysText(String body) {
        KeyList list = Json.decode(body, KeyList.class);
        return list.keys().stream()
                .map(k -> "key " + k.id() + ": team " + k.team())
                .collect(
                        Collectors.joining(
                                "\n", "Keys at version " + list.ringVersion() + "\n", ""));
    }

    private record KeyList(long ringVersion, List<KeyView> keys) {}

    private record KeyView(String id, String team) {}
}
