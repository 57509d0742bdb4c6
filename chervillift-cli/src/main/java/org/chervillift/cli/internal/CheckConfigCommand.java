package org.chervillift.cli.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.core.tasks.manifests.Finding;
import org.chervillift.core.tasks.manifests.ManifestCheck;
import org.chervillift.core.tasks.manifests.ManifestDifferences;
import org.chervillift.http.Json;
import org.chervillift.platform.fleet.ManifestFile;

/** Checks a configuration of the users' platform before it is sent. */
public final class CheckConfigCommand implements LocalCommand {

    private static final String IN_FORCE = "in-force";
    private static final String JSON = "json";

    /** What was found, as printed in JSON. */
    private record Result(List<Finding> findings, List<String> differences) {}

    @Override
    public String name() {
        return "check-config";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Checks a configuration of queues, pools and customers before it is sent.";
    }

    @Override
    public Options options() {
        Options options = new Options();
        options.addOption(
                Option.builder()
                        .longOpt(IN_FORCE)
                        .hasArg()
                        .desc("FILE that holds the version in force")
                        .build());
        options.addOption(Option.builder().longOpt(JSON).desc("print JSON").build());
        return options;
    }

    @Override
    public boolean wantsJson(CommandLine line) {
        return line.hasOption(JSON);
    }

    @Override
    public Outcome run(CommandLine line) throws ParseException {
        ManifestFile file = read(line.getArgList().getFirst());
        Optional<Manifest> inForce =
                line.hasOption(IN_FORCE)
                        ? Optional.of(read(line.getOptionValue(IN_FORCE)).manifest())
                        : Optional.empty();
        List<Finding> findings = new ArrayList<>();
        file.oddFields().forEach(f -> findings.add(Finding.error(f.entry(), f.sentence())));
        findings.addAll(ManifestCheck.findings(file.manifest(), inForce));
        List<String> differences =
                inForce.map(m -> ManifestDifferences.between(m, file.manifest())).orElse(List.of());
        return new Outcome(
                findings.isEmpty() ? Outcome.DONE : Outcome.REFUSED,
                text(findings, differences),
                Json.encode(new Result(findings, differences)));
    }

    private static ManifestFile read(String name) throws ParseException {
        try {
            return ManifestFile.parse(Files.readString(Path.of(name)));
        } catch (IOException e) {
            throw new ParseException("The file " + name + " cannot be read.");
        } catch (ChervilliftException e) {
            throw new ParseException(name + ": " + e.getMessage());
        }
    }

    private static String text(List<Finding> findings, List<String> differences) {
        List<String> lines = new ArrayList<>();
        findings.forEach(f -> lines.add(f.severity() + " " + f.entry() + ": " + f.sentence()));
        differences.forEach(d -> lines.add("DIFFERENCE " + d));
        lines.add("Findings: " + findings.size() + ".");
        return String.join("\n", lines);
    }
}
