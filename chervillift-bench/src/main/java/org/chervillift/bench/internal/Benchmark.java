package org.chervillift.bench.internal;

/** One measurement that runs from a fixed seed. */
public interface Benchmark {

    /** Returns the name that {@code bin/bench} takes. */
    String name();

    /** Returns one plain sentence. */
    String summary();

    /**
     * Runs the measurement.
     *
     * @throws ConditionBrokenException as soon as a condition of the requirements is broken
     */
    void run(BenchContext context);
}
