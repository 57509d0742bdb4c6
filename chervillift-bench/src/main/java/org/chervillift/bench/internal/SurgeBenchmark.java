package org.chervillift.bench.internal;

import org.chervillift.bench.surge.SurgeResult;
import org.chervillift.bench.surge.SurgeRun;

/** Useful work and waiting time through a surge with a third of the upstreams gone. */
public final class SurgeBenchmark implements Benchmark {

    private static final double LEAST_OF_REMAINING = 0.9;

    @Override
    public String name() {
        return "surge";
    }

    @Override
    public String summary() {
        return "Five times the mean with a third of the upstreams gone, beside retry-three-times.";
    }

    @Override
    public void run(BenchContext context) {
        SurgeResult ours = SurgeRun.ours(context.seed());
        SurgeResult baseline = SurgeRun.retryThreeTimes(context.seed());
        print(context, "ours", ours);
        print(context, "retry_three_times", baseline);
        if (ours.usefulOfRemaining() < LEAST_OF_REMAINING) {
            throw new ConditionBrokenException(
                    "useful work is below 0.9 of the remaining slots", context.seed());
        }
    }

    private static void print(BenchContext context, String who, SurgeResult result) {
        context.figure(who + "_useful_of_remaining", result.usefulOfRemaining(), "part");
        context.figure(who + "_p99", result.p99Millis(), "ms");
        context.figure(who + "_given_up_at_once", result.givenUpMillis(), "ms");
    }
}
