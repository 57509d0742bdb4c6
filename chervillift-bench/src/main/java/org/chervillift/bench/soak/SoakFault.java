package org.chervillift.bench.soak;

/** An invariant of the run was broken. */
public final class SoakFault extends RuntimeException {

    private static final long serialVersionUID = 1L;

    SoakFault(long seed, String what) {
        super("seed " + seed + ": " + what);
    }
}
