package org.chervillift.bench.internal.capacity;

import java.lang.management.ManagementFactory;
import java.util.function.Supplier;

/** Measures the processor time and the memory of pieces of code. */
final class Meter {

    private static final int WARM_UP = 400;
    private static final int RUNS = 100;
    private static final int COLLECTIONS = 4;
    private static final double NANOS_A_MILLI = 1e6;

    private Meter() {}

    /** Returns the processor time of one run in milliseconds, after a warm-up. */
    static double cpuMillis(Runnable code) {
        for (int i = 0; i < WARM_UP; i++) {
            code.run();
        }
        long before = threadNanos();
        for (int i = 0; i < RUNS; i++) {
            code.run();
        }
        return (threadNanos() - before) / NANOS_A_MILLI / RUNS;
    }

    /** Returns the bytes of heap that a value keeps. */
    static long heapBytes(Supplier<Object> value) {
        long before = used();
        Object kept = value.get();
        long after = used();
        if (kept == null) {
            throw new IllegalStateException("there must be a value");
        }
        return Math.max(0, after - before);
    }

    static long threadNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long used() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
