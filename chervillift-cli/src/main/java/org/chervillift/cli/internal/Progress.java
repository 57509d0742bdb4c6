package org.chervillift.cli.internal;

import java.io.PrintStream;
import org.chervillift.api.Checks;

/** Shows on a terminal how a command gets on; shows nothing in a pipe. */
public final class Progress {

    private final PrintStream target;
    private final boolean terminal;

    /** Creates a progress display. */
    public Progress(PrintStream target, boolean terminal) {
        this.target = Checks.notNull("target", target);
        this.terminal = terminal;
    }

    /** Shows a line. */
    public void show(String line) {
        if (terminal) {
            target.println(line);
        }
    }
}
