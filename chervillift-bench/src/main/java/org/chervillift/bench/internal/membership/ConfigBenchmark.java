package org.chervillift.bench.internal.membership;

import java.time.Duration;
import java.util.List;
import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.bench.internal.ConditionBrokenException;
import org.chervillift.core.membership.Versions;

/** Time from a committed change to in force at the last process, with the store up and down. */
public final class ConfigBenchmark implements Benchmark {

    private static final Duration BOUND = Duration.ofSeconds(14);
    private static final Duration SETTLE = Duration.ofSeconds(60);
    private static final Duration STEP = Duration.ofMillis(1);
    private static final int CHANGES = 20;
    private static final int[][] SIZES = {{3, 6}, {6, 24}, {6, 48}};

    @Override
    public String name() {
        return "config";
    }

    @Override
    public String summary() {
        return "Time until a change is in force at the last process, and the cost of control.";
    }

    @Override
    public void run(BenchContext context) {
        for (int[] size : SIZES) {
            VirtualFleet fleet = new VirtualFleet(size[0], size[1], context.seed());
            fleet.run(SETTLE);
            spread(context, fleet, size[1], true);
            spread(context, fleet, size[1], false);
            bytes(context, fleet, size[1]);
        }
        for (int[] size : SIZES) {
            realLinks(context, size[0], size[1]);
        }
    }

    private static void spread(
            BenchContext context, VirtualFleet fleet, int processes, boolean storeUp) {
        long sum = 0;
        long most = 0;
        for (int i = 0; i < CHANGES; i++) {
            Versions before = fleet.store().inForce();
            Versions next = new Versions(before.config() + 1, before.keyRing() + 1);
            fleet.commit(next);
            Duration first = Duration.ZERO;
            if (!storeUp) {
                first = awaitFirst(fleet, next);
                fleet.store().setDown(true);
            }
            long millis = first.plus(fleet.awaitInForce(BOUND)).toMillis();
            sum += millis;
            most = Math.max(most, millis);
            fleet.store().healAll();
            fleet.run(SETTLE);
        }
        String suffix = (storeUp ? "store_up_" : "store_down_") + processes;
        context.figure("in_force_mean_" + suffix, sum / (double) CHANGES, "ms");
        context.figure("in_force_last_" + suffix, most, "ms");
    }

    private static Duration awaitFirst(VirtualFleet fleet, Versions next) {
        Duration waited = Duration.ZERO;
        while (fleet.nodes().stream().noneMatch(n -> n.held().equals(next))) {
            fleet.run(STEP);
            waited = waited.plus(STEP);
        }
        return waited;
    }

    private static void bytes(BenchContext context, VirtualFleet fleet, int processes) {
        List<VirtualNode> nodes = fleet.nodes();
        long[] before = nodes.stream().mapToLong(VirtualNode::bytes).toArray();
        fleet.run(SETTLE);
        double sum = 0;
        double most = 0;
        for (int i = 0; i < nodes.size(); i++) {
            double rate = (nodes.get(i).bytes() - before[i]) / (double) SETTLE.toSeconds();
            sum += rate;
            most = Math.max(most, rate);
        }
        context.figure("control_bytes_mean_" + processes, sum / nodes.size(), "B/s");
        context.figure("control_bytes_worst_" + processes, most, "B/s");
        if (most > MembershipSoak.MOST_BYTES_A_SECOND) {
            throw new ConditionBrokenException(
                    processes + " processes spend " + most + " B/s", context.seed());
        }
    }

    private static void realLinks(BenchContext context, int dataCentres, int processes) {
        try (LoopbackFleet fleet = new LoopbackFleet(dataCentres, processes, context.seed())) {
            LoopbackFleet.Cost cost = fleet.measure();
            context.figure("links_cpu_" + processes, cost.cpuPercent(), "percent_of_a_core");
            context.figure("links_frame_bytes_" + processes, cost.bytes(), "B/s");
            context.figure("links_mean_" + processes, cost.links(), "links");
        }
    }
}
