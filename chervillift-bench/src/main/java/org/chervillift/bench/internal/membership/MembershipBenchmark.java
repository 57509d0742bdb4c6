package org.chervillift.bench.internal.membership;

import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;

/** Runs membership through random faults in virtual time. */
public final class MembershipBenchmark implements Benchmark {

    private static final int MINUTES_A_ROUND = 4;

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public String summary() {
        return "Randomised faults of membership; a round takes about four minutes.";
    }

    @Override
    public void run(BenchContext context) {
        int count = Math.max(1, context.minutes() / MINUTES_A_ROUND);
        long rounds = new MembershipSoak(context.seed()).run(count);
        context.figure("rounds", rounds, "rounds");
    }
}
