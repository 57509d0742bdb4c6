package org.chervillift.bench.internal;

import java.time.Duration;
import org.chervillift.bench.limits.InvariantBrokenException;
import org.chervillift.bench.limits.LimitSoak;
import org.chervillift.bench.limits.Variant;
import org.chervillift.bench.soak.RequestSoak;
import org.chervillift.bench.soak.SoakFault;

/** Randomised runs of the request path and of the upper limits over faults, in virtual time. */
public final class SoakBenchmark implements Benchmark {

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "Randomised runs of requests and limits over faults, with invariants asserted.";
    }

    @Override
    public void run(BenchContext context) {
        try {
            RequestSoak.run(context.seed(), Duration.ofMinutes(context.minutes()))
                    .forEach((what, count) -> context.figure(what, count, "times"));
            LimitSoak.run(context.seed(), context.minutes(), Variant.RIGHT)
                    .forEach((what, count) -> context.figure("limits_" + what, count, "times"));
        } catch (SoakFault | InvariantBrokenException e) {
            throw new ConditionBrokenException(e.getMessage(), context.seed());
        }
    }
}
