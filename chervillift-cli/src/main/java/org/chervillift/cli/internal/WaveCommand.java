package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Starts, steers and shows maintenance waves. */
public final class WaveCommand implements Command {

    private static final String PATH = "/operator/v1/waves";
    private static final String SHOW = "show";
    private static final String ALL = "all";
    private static final String DEFAULT_DAYS = "14";

    @Override
    public String name() {
        return "wave";
    }

    @Override
    public String arguments() {
        return "start|pause|resume|skip|abandon|show WAVE";
    }

    @Override
    public String summary() {
        return "Maintains VMs within the budgets; show all shows every wave.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(option("pools", "start: only these POOLS, with commas between them"))
                .addOption(option("days", "start: the deadline in DAYS, 14 if not given"))
                .addOption(Option.builder().longOpt("urgent").desc("start: goes first").build())
                .addOption(option("vms", "skip: these VMS, with commas between them"));
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).build();
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return line.getArgList().get(0).equals(SHOW);
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        String action = line.getArgList().get(0);
        String wave = line.getArgList().get(1);
        return switch (action) {
            case "start" -> start(line, client, wave);
            case "skip" -> {
                String body = Json.encode(new SkipBody(list(line, "vms")));
                yield command(client.send(HttpMethod.POST, PATH + "/" + wave + "/skip", body));
            }
            case "pause", "resume", "abandon" ->
                    command(client.send(HttpMethod.POST, PATH + "/" + wave + "/" + action));
            case SHOW -> show(client, wave);
            default -> new Outcome(Outcome.USAGE, "usage: wave " + arguments(), "{\"code\":1001}");
        };
    }

    private static Outcome start(CommandLine line, OperatorClient client, String wave) {
        StartBody body =
                new StartBody(
                        wave,
                        list(line, "pools"),
                        line.hasOption("urgent"),
                        days(line.getOptionValue("days", DEFAULT_DAYS)));
        return command(client.send(HttpMethod.POST, PATH, Json.encode(body)));
    }

    private static int days(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new ChervilliftException(ErrorCode.BAD_REQUEST, text + " is not a number.", e);
        }
    }

    private static List<String> list(CommandLine line, String option) {
        String text = line.getOptionValue(option, "");
        return Arrays.stream(text.split(",")).map(String::strip).filter(s -> !s.isEmpty()).toList();
    }

    static Outcome command(HttpAnswer answer) {
        return answer.isSuccess()
                ? Outcome.done(
                        Json.decode(answer.body(), Commanded.class).sentence(), answer.body())
                : Answered.refused(answer);
    }

    private static Outcome show(OperatorClient client, String wave) {
        HttpAnswer answer = client.send(HttpMethod.GET, PATH);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        List<Shown> waves =
                Json.decode(answer.body(), Waves.class).waves().stream()
                        .filter(w -> wave.equals(ALL) || w.id().equals(wave))
                        .toList();
        String text = String.join("\n", waves.stream().map(Shown::lines).toList());
        String json = Json.encode(new Waves(waves));
        boolean missing = waves.isEmpty() && !wave.equals(ALL);
        return missing
                ? new Outcome(Outcome.REFUSED, "There is no wave " + wave + ".", json)
                : Outcome.done(waves.isEmpty() ? "There is no wave." : text, json);
    }

    /** Asks for a wave. */
    private record StartBody(String id, List<String> pools, boolean urgent, int days) {}

    /** Excepts VMs. */
    private record SkipBody(List<String> vms) {}

    /** Tells how a command ended. */
    private record Commanded(String sentence) {}

    /** All waves. */
    private record Waves(List<Shown> waves) {}

    /** One wave. */
    private record Shown(
            String id,
            String state,
            String reason,
            String deadline,
            int done,
            List<String> toDo,
            List<String> out,
            List<String> waiting) {

        String lines() {
            StringBuilder text = new StringBuilder();
            text.append("Wave %s is %s.".formatted(id, state));
            if (!reason.isEmpty()) {
                text.append(" ").append(reason);
            }
            text.append(
                    "\n  %d VMs are done, %d are to do. Deadline %s UTC."
                            .formatted(done, toDo.size(), deadline));
            out.forEach(o -> text.append("\n  Out: ").append(o));
            waiting.forEach(w -> text.append("\n  Waiting: ").append(w));
            return text.toString();
        }
    }
}
