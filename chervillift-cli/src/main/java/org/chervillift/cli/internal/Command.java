package org.chervillift.cli.internal;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** One command of the operators' tool. */
public interface Command {

    /** Returns the word or words that name the command. */
    String name();

    /** Returns the arguments, as the help shows them. */
    String arguments();

    /** Returns one plain sentence. */
    String summary();

    /** Returns the options that only this command takes. */
    default Options options() {
        return new Options();
    }

    /** Returns whether the command only reads. */
    default boolean changesNothing(CommandLine line) {
        return false;
    }

    /**
     * Carries the command out.
     *
     * @throws ParseException if an argument is not allowed
     */
    Outcome run(CommandLine line, OperatorClient client) throws ParseException;
}
