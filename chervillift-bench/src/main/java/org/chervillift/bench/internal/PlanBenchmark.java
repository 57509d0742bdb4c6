package org.chervillift.bench.internal;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.chervillift.core.tasks.Order;

/** Processor time of one plan of the task scheduler in full pools. */
public final class PlanBenchmark implements Benchmark {

    private static final double MAX_PLAN_MILLIS = 50;
    private static final int[] POOL_COUNTS = {34, 1};
    private static final int WARM_UP_PLANS = 100;
    private static final int MEASURED_PLANS = 21;
    private static final int ENDS_PER_PLAN = 40;
    private static final double NANOS_PER_MILLI = 1e6;

    @Override
    public String name() {
        return "plan";
    }

    @Override
    public String summary() {
        return "Processor time of a plan: 1,200 full workers, 10,000 waiting tasks, 20 customers.";
    }

    /** Prints the median for many pools and for one, and compares each with the bound. */
    @Override
    public void run(BenchContext context) {
        double worst = 0;
        for (int pools : POOL_COUNTS) {
            double median = medianMillis(pools, new Random(context.seed()));
            context.figure("plan_of_" + pools + "_pools", median, "ms");
            worst = Math.max(worst, median);
        }
        if (worst > MAX_PLAN_MILLIS) {
            throw new ConditionBrokenException("A plan took " + worst + " ms.", context.seed());
        }
    }

    private static double medianMillis(int pools, Random random) {
        PlanFleet fleet = new PlanFleet(pools, random);
        double[] millis = new double[MEASURED_PLANS];
        for (int i = -WARM_UP_PLANS; i < MEASURED_PLANS; i++) {
            fleet.replace(ENDS_PER_PLAN);
            long start = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            List<Order> orders = fleet.plan();
            long end = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
            fleet.execute(orders);
            millis[Math.max(0, i)] = (end - start) / NANOS_PER_MILLI;
        }
        Arrays.sort(millis);
        return millis[MEASURED_PLANS / 2];
    }
}
