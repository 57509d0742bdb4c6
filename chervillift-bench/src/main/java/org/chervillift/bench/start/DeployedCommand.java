package org.chervillift.bench.start;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.ErrorCode;

/**
 * The command by which the deploy file starts the daemon.
 *
 * @param words the program and its arguments; the last one is the settings file
 */
record DeployedCommand(List<String> words) {

    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]+)\"$");

    DeployedCommand {
        words = List.copyOf(words);
        Checks.that(words.size() > 1, "a command has a program and a settings file");
    }

    /** Reads the command from the deploy file of a repository. */
    static DeployedCommand read(Path root) throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve(DEPLOY_FILE)));
        if (!run.find()) {
            throw new ChervilliftException(
                    ErrorCode.BAD_SETTING, "The deploy file has no command.");
        }
        return new DeployedCommand(List.of(run.group(1).split(" ")));
    }

    /** Returns the flags of the virtual machine. */
    List<String> flags() {
        return words.stream().filter(w -> w.startsWith("-")).toList();
    }

    /** Returns the command with another settings file. */
    List<String> withSettings(Path file) {
        List<String> command = new ArrayList<>(words);
        command.set(command.size() - 1, file.toString());
        return command;
    }
}
