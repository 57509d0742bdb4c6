package org.chervillift.bench.limits;

import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.bench.internal.ConditionBrokenException;

/** Runs {@link LimitSoak} from one seed for so many minutes of virtual time. */
public final class SoakBenchmark implements Benchmark {

    @Override
    public String name() {
        return "soak";
    }

    @Override
    public String summary() {
        return "A long randomised run of the upper limits under faults.";
    }

    @Override
    public void run(BenchContext context) {
        try {
            LimitSoak.run(context.seed(), context.minutes(), Variant.RIGHT)
                    .forEach((name, value) -> context.figure(name, value, "count"));
        } catch (InvariantBrokenException e) {
            throw new ConditionBrokenException(e.getMessage(), context.seed());
        }
    }
}
