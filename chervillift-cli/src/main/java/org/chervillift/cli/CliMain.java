package org.chervillift.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;
import org.chervillift.cli.internal.ApplyCommand;
import org.chervillift.cli.internal.CheckConfigCommand;
import org.chervillift.cli.internal.Command;
import org.chervillift.cli.internal.GetCommand;
import org.chervillift.cli.internal.GrantKeyCommand;
import org.chervillift.cli.internal.HistoryCommand;
import org.chervillift.cli.internal.LocalCommand;
import org.chervillift.cli.internal.MembersCommand;
import org.chervillift.cli.internal.OperatorClient;
import org.chervillift.cli.internal.Outcome;
import org.chervillift.cli.internal.PlanCommand;
import org.chervillift.cli.internal.Progress;
import org.chervillift.cli.internal.ReportCommand;
import org.chervillift.cli.internal.VmCommand;
import org.chervillift.cli.internal.WatchCommand;
import org.chervillift.cli.internal.WaveCommand;
import org.chervillift.cli.internal.WithdrawKeyCommand;
import org.chervillift.http.ReactorThread;
import org.chervillift.runtime.settings.HostPort;

/** The program chervillift, the operators' command-line tool. */
public final class CliMain {

    private static final List<Command> COMMANDS =
            List.of(
                    new PlanCommand(),
                    new ApplyCommand(),
                    new WatchCommand(),
                    new GetCommand(),
                    new HistoryCommand(),
                    new GrantKeyCommand(),
                    new WithdrawKeyCommand(),
                    new ReportCommand(),
                    new MembersCommand(),
                    new WaveCommand(),
                    VmCommand.drain(),
                    VmCommand.restore(),
                    new CheckConfigCommand());
    private static final String TEXT = "text";
    private static final String JSON = "json";
    private static final List<String> OUTPUTS = List.of(TEXT, JSON);
    private static final String CREDENTIAL_VARIABLE = "CHERVILLIFT_CREDENTIAL";

    private CliMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(run(args, System.getenv(), System.out, System.err));
    }

    /**
     * Runs one command.
     *
     * @return the exit code
     */
    static int run(
            String[] args, Map<String, String> environment, PrintStream out, PrintStream err) {
        Optional<Command> command =
                args.length == 0
                        ? Optional.empty()
                        : COMMANDS.stream().filter(c -> c.name().equals(args[0])).findFirst();
        if (command.isEmpty()) {
            printUsage(err);
            return Outcome.USAGE;
        }
        try {
            String[] rest = Arrays.copyOfRange(args, 1, args.length);
            CommandLine line = parse(command.get(), rest);
            return command.get() instanceof LocalCommand local
                    ? runLocally(local, line, out)
                    : runCommand(command.get(), line, environment, out, err);
        } catch (ParseException e) {
            err.println(e.getMessage());
            return Outcome.USAGE;
        }
    }

    private static CommandLine parse(Command command, String[] args) throws ParseException {
        Options options = globalOptions();
        command.options().getOptions().forEach(options::addOption);
        CommandLine line = new DefaultParser().parse(options, args);
        long wanted =
                Arrays.stream(command.arguments().split(" ")).filter(a -> !a.isEmpty()).count();
        if (line.getArgList().size() != wanted) {
            throw new ParseException("usage: " + command.name() + " " + command.arguments());
        }
        checkOutput(line);
        return line;
    }

    private static int noAnswer(
            Command command, CommandLine line, ChervilliftException fault, PrintStream err) {
        if (fault.code() == ErrorCode.BAD_SETTING) {
            err.println(fault.getMessage());
            return Outcome.USAGE;
        }
        if (command.changesNothing(line)) {
            err.println("No daemon answered: " + fault.getMessage());
            return Outcome.REFUSED;
        }
        err.println("Not known whether it took effect: " + fault.getMessage());
        return Outcome.UNKNOWN;
    }

    /** Runs a command that asks no daemon; what it finds is its result, whatever the exit code. */
    private static int runLocally(LocalCommand command, CommandLine line, PrintStream out)
            throws ParseException {
        Outcome outcome = command.run(line);
        boolean json = command.wantsJson(line) || output(line).equals(JSON);
        out.println(json ? outcome.json() : outcome.text());
        return outcome.exitCode();
    }

    private static int runCommand(
            Command command,
            CommandLine line,
            Map<String, String> environment,
            PrintStream out,
            PrintStream err)
            throws ParseException {
        String server = line.getOptionValue("server", environment.get("CHERVILLIFT_SERVER"));
        if (server == null) {
            throw new ParseException("--server ADDRESS is missing.");
        }
        String credential = credential(line, environment);
        try (ReactorThread thread = new ReactorThread("chervillift")) {
            Progress progress = new Progress(err, System.console() != null);
            OperatorClient client =
                    new OperatorClient(thread, HostPort.parse(server), credential, progress);
            return print(command.run(line, client), line, out, err);
        } catch (ChervilliftException e) {
            return noAnswer(command, line, e, err);
        }
    }

    private static int print(Outcome outcome, CommandLine line, PrintStream out, PrintStream err) {
        PrintStream target = outcome.exitCode() == Outcome.DONE ? out : err;
        boolean json = output(line).equals(JSON);
        target.println(json ? outcome.json() : outcome.text());
        return outcome.exitCode();
    }

    private static String output(CommandLine line) {
        return line.getOptionValue("output", TEXT);
    }

    private static void checkOutput(CommandLine line) throws ParseException {
        if (!OUTPUTS.contains(output(line))) {
            throw new ParseException("--output must be one of: " + String.join(", ", OUTPUTS));
        }
    }

    private static Options globalOptions() {
        Options options = new Options();
        options.addOption(withArgument("server", "ADDRESS of a daemon's control port"));
        options.addOption(withArgument("output", "text or json"));
        options.addOption(withArgument("credential-file", "FILE that holds the credential"));
        return options;
    }

    private static Option withArgument(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).build();
    }

    private static String credential(CommandLine line, Map<String, String> environment)
            throws ParseException {
        String file = line.getOptionValue("credential-file");
        if (file != null) {
            try {
                return Files.readString(Path.of(file)).strip();
            } catch (IOException e) {
                throw new ParseException("The credential file cannot be read.");
            }
        }
        String credential = environment.get(CREDENTIAL_VARIABLE);
        if (credential == null) {
            throw new ParseException(
                    "Give the credential by --credential-file or " + CREDENTIAL_VARIABLE + ".");
        }
        return credential;
    }

    private static void printUsage(PrintStream err) {
        err.println("usage: chervillift COMMAND [--server ADDRESS] [--output text|json]");
        for (Command c : COMMANDS) {
            err.printf("  %-28s %s%n", c.name() + " " + c.arguments(), c.summary());
        }
    }
}
