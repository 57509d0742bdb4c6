package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Brings a sheet into force. */
public final class ApplyCommand implements Command {

    private static final String BASE = "base";
    private static final String CONFIRM = "confirm";

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
        return "Brings a sheet into force, with --base VERSION as plan shows it.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt(BASE)
                        .hasArg()
                        .desc("VERSION that the plan was made on")
                        .build());
        options.addOption(
                Option.builder()
                        .longOpt(CONFIRM)
                        .hasArg()
                        .desc("WORD that plan asks for; may be given more than once")
                        .build());
        return options;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) throws ParseException {
        byte[] sheet = SheetFile.read(line);
        String path = "/operator/v1/apply?base=" + base(line) + "&confirm=" + words(line);
        HttpAnswer answer = client.sendChange(HttpMethod.POST, path, sheet);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        Applied applied = Json.decode(answer.body(), Applied.class);
        return Outcome.done(applied.sentence(), answer.body());
    }

    private static long base(CommandLine line) throws ParseException {
        String value = line.getOptionValue(BASE, "");
        if (!value.matches("[0-9]{1,18}")) {
            throw new ParseException("Give --base VERSION, the version that plan shows.");
        }
        return Long.parseLong(value);
    }

    private static String words(CommandLine line) throws ParseException {
        String[] words = line.getOptionValues(CONFIRM);
        String joined = words == null ? "" : String.join(",", words);
        if (!joined.matches("[a-z0-9,-]*")) {
            throw new ParseException("--confirm takes the word that plan shows.");
        }
        return joined;
    }

    private record Applied(long version, String sentence) {}
}
