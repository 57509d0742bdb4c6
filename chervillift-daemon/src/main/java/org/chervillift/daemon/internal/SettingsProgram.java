package org.chervillift.daemon.internal;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.chervillift.api.Checks;
import org.chervillift.api.ChervilliftException;
import org.chervillift.runtime.settings.SettingsException;

/**
 * A program whose argument is its settings file, and that can also only check the file.
 *
 * @param usage the message that is printed if the arguments are wrong
 * @param readSettings reads and validates the file
 * @param serve serves requests until the process is asked to stop
 */
public record SettingsProgram<S>(
        String usage, Function<Path, S> readSettings, BiConsumer<S, Path> serve) {

    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE_OR_SETTINGS = 2;

    public SettingsProgram {
        Checks.notBlank("usage", usage);
        Checks.notNull("readSettings", readSettings);
        Checks.notNull("serve", serve);
    }

    /**
     * Reads the settings and starts serving, or with {@code --check} only validates them.
     *
     * @return the exit code
     */
    public int run(String[] args, PrintStream out, PrintStream err) {
        boolean checkOnly = args.length == 2 && args[0].equals("--check");
        if (args.length != 1 && !checkOnly) {
            err.println(usage);
            return EXIT_USAGE_OR_SETTINGS;
        }
        Path file = Path.of(args[args.length - 1]);
        S settings;
        try {
            settings = readSettings.apply(file);
        } catch (SettingsException e) {
            e.lines().forEach(err::println);
            return EXIT_USAGE_OR_SETTINGS;
        } catch (ChervilliftException e) {
            err.println(e.getMessage());
            return EXIT_USAGE_OR_SETTINGS;
        }
        if (checkOnly) {
            out.println("The settings are valid.");
        } else {
            serve.accept(settings, file);
        }
        return EXIT_OK;
    }
}
