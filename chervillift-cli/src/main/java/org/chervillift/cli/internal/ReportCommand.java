package org.chervillift.cli.internal;

import io.activej.http.HttpMethod;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.chervillift.api.report.FleetReport;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;

/** Shows the report of a span of time. */
public final class ReportCommand implements Command {

    private static final String DAY_HOURS = "24";

    @Override
    public String name() {
        return "report";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Reports on the burn of service-level objectives, VMs and waves.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder().longOpt("hours").hasArg().desc("length of the span").build());
        options.addOption(
                Option.builder()
                        .longOpt("html")
                        .hasArg()
                        .desc("FILE to write the report to as one page")
                        .build());
        return options;
    }

    @Override
    public boolean changesNothing(CommandLine line) {
        return true;
    }

    @Override
    public Outcome run(CommandLine line, OperatorClient client) {
        String hours = line.getOptionValue("hours", DAY_HOURS);
        HttpAnswer answer = client.send(HttpMethod.GET, "/operator/v1/report?hours=" + hours);
        if (!answer.isSuccess()) {
            return Answered.refused(answer);
        }
        FleetReport report = Json.decode(answer.body(), FleetReport.class);
        String file = line.getOptionValue("html");
        if (file == null) {
            return Outcome.done(ReportText.of(report), answer.body());
        }
        return writePage(Path.of(file), report, answer.body());
    }

    private static Outcome writePage(Path file, FleetReport report, String json) {
        try {
            Files.writeString(file, ReportPage.of(report));
            return Outcome.done("The report is in " + file + ".", json);
        } catch (IOException e) {
            return new Outcome(Outcome.USAGE, "The file " + file + " cannot be written.", json);
        }
    }
}
