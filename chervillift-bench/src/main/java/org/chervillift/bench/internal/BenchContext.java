package org.chervillift.bench.internal;

import java.io.PrintStream;
import java.util.Locale;
import org.chervillift.api.Checks;

/**
 * What a measurement is given.
 *
 * @param seed the seed of all its randomness
 * @param minutes how long a randomised run goes on, in minutes of virtual time
 * @param out where figures are printed
 */
public record BenchContext(long seed, int minutes, PrintStream out) {

    public BenchContext {
        Checks.inRange("minutes", minutes, 1, 100_000);
        Checks.notNull("out", out);
    }

    /** Prints a figure as {@code name=value unit}. */
    public void figure(String name, double value, String unit) {
        out.printf(Locale.ROOT, "%s=%.3f %s%n", name, value, unit);
    }

    /** Prints a count as {@code name=value unit}. */
    public void figure(String name, long value, String unit) {
        out.printf(Locale.ROOT, "%s=%d %s%n", name, value, unit);
    }
}
