package org.chervillift.bench.internal;

import java.time.Duration;
import org.chervillift.bench.soak.RequestSoak;
import org.chervillift.bench.soak.SoakFault;

/** A randomised run of the request path over faults, in virtual time. */
public final class SoakBenchmark implements Benchmark {

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "A randomised run of the request path over faults, with its invariants asserted.";
    }

    @Override
    public void run(BenchContext context) {
        try {
            RequestSoak.run(context.seed(), Duration.ofMinutes(context.minutes()))
                    .forEach((what, count) -> context.figure(what, count, "times"));
        } catch (SoakFault e) {
            throw new ConditionBrokenException(e.getMessage(), context.seed());
        }
    }
}
