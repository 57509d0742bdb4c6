package org.chervillift.cli.internal;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/** A command that works on files and asks no daemon. */
public interface LocalCommand extends Command {

    @Override
    default boolean changesNothing(CommandLine line) {
        return true;
    }

    /**
     * Carries the command out.
     *
     * @throws ParseException if an argument is not allowed
     */
    Outcome run(CommandLine line) throws ParseException;

    @Override
    default Outcome run(CommandLine line, OperatorClient client) throws ParseException {
        return run(line);
    }

    /** Returns whether the outcome is printed as JSON, beside the option of all commands. */
    default boolean wantsJson(CommandLine line) {
        return false;
    }
}
