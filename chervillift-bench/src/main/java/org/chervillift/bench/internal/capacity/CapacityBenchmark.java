package org.chervillift.bench.internal.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntToDoubleFunction;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.bench.internal.membership.VirtualFleet;
import org.chervillift.bench.internal.membership.VirtualNode;
import org.chervillift.core.config.ConfigDigest;
import org.chervillift.core.keys.KeyTable;
import org.chervillift.http.Json;

/** Measures slopes at four sizes, and works out each line at the planned size. */
public final class CapacityBenchmark implements Benchmark {

    private static final int[] WORKERS = {300, 600, 1_200, 2_400};
    private static final int[] TEAMS = {40, 85, 170, 340};
    private static final int[] PROCESSES = {12, 24, 48, 72};
    private static final Duration WARM_UP = Duration.ofMinutes(10);
    private static final Duration SETTLE = Duration.ofSeconds(60);
    private static final Duration MEASURE = Duration.ofSeconds(60);
    private static final double NANOS_A_SECOND = 1e9;
    private static final double MICROS_A_SECOND = 1e6;

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String summary() {
        return "Slopes of state, messages and processor time, and lines at the planned size.";
    }

    @Override
    public void run(BenchContext context) {
        membership(context);
        content(context);
    }

    private static void membership(BenchContext context) {
        new VirtualFleet(PlannedSize.DATA_CENTRES, PlannedSize.ENTRY_VMS, context.seed())
                .run(WARM_UP);
        List<Fit.Point> bytes = new ArrayList<>();
        List<Fit.Point> worst = new ArrayList<>();
        List<Fit.Point> micros = new ArrayList<>();
        for (int n : PROCESSES) {
            VirtualFleet fleet = new VirtualFleet(PlannedSize.DATA_CENTRES, n, context.seed());
            fleet.run(SETTLE);
            List<VirtualNode> nodes = fleet.nodes();
            long[] before = nodes.stream().mapToLong(VirtualNode::bytes).toArray();
            long cpu = Meter.threadNanos();
            fleet.run(MEASURE);
            cpu = Meter.threadNanos() - cpu;
            double sum = 0;
            double most = 0;
            for (int i = 0; i < nodes.size(); i++) {
                double rate = (nodes.get(i).bytes() - before[i]) / (double) MEASURE.toSeconds();
                sum += rate;
                most = Math.max(most, rate);
            }
            double perNode = cpu / NANOS_A_SECOND / MEASURE.toSeconds() / n;
            bytes.add(new Fit.Point(n, sum / n));
            worst.add(new Fit.Point(n, most));
            micros.add(new Fit.Point(n, perNode * MICROS_A_SECOND));
            context.figure("membership_bytes_mean_" + n, sum / n, "B/s");
            context.figure("membership_bytes_worst_" + n, most, "B/s");
            context.figure("membership_decision_cpu_" + n, perNode * MICROS_A_SECOND, "us/s");
        }
        line(context, "membership_bytes_mean", bytes, PlannedSize.ENTRY_VMS, "B/s");
        line(context, "membership_bytes_worst", worst, PlannedSize.ENTRY_VMS, "B/s");
        line(context, "membership_decision_cpu", micros, PlannedSize.ENTRY_VMS, "us/s");
    }

    private static void content(BenchContext context) {
        int workers = PlannedSize.WORKERS;
        measure(context, "config_bytes", WORKERS, workers, "B", n -> size(PlannedSize.config(n)));
        measure(context, "config_adopt_cpu", WORKERS, workers, "ms", CapacityBenchmark::adoptCpu);
        measure(
                context,
                "config_heap",
                WORKERS,
                workers,
                "B",
                n -> Meter.heapBytes(() -> PlannedSize.config(n)));
        measure(context, "vm_table_bytes", WORKERS, workers, "B", n -> size(rows(n)));
        measure(context, "vm_table_cpu", WORKERS, workers, "ms", CapacityBenchmark::tableCpu);
        measure(context, "list_bytes", WORKERS, workers, "B", n -> size(PlannedSize.list(n)));
        measure(context, "list_cpu", WORKERS, workers, "ms", CapacityBenchmark::listCpu);
        int teams = PlannedSize.TEAMS;
        measure(context, "ring_bytes", TEAMS, teams, "B", n -> size(PlannedSize.ring(n)));
        measure(context, "ring_adopt_cpu", TEAMS, teams, "ms", CapacityBenchmark::ringCpu);
    }

    private static double adoptCpu(int workers) {
        String text = Json.encode(PlannedSize.config(workers));
        return Meter.cpuMillis(() -> ConfigDigest.of(Json.decode(text, FleetConfig.class)));
    }

    private static double tableCpu(int workers) {
        List<String> texts = rows(workers).stream().map(Json::encode).toList();
        return Meter.cpuMillis(() -> texts.forEach(t -> Json.decode(t, VmRow.class)));
    }

    private static double listCpu(int workers) {
        String text = Json.encode(new Listed(PlannedSize.list(workers)));
        return Meter.cpuMillis(() -> Json.decode(text, Listed.class));
    }

    private static double ringCpu(int teams) {
        String text = Json.encode(PlannedSize.ring(teams));
        return Meter.cpuMillis(() -> new KeyTable(Json.decode(text, KeyRing.class)));
    }

    private static List<VmRow> rows(int workers) {
        return PlannedSize.vms(workers).stream().map(v -> VmRow.first(v, Instant.EPOCH)).toList();
    }

    private static double size(Object value) {
        return Json.encode(value).getBytes(StandardCharsets.UTF_8).length;
    }

    private static void measure(
            BenchContext context,
            String name,
            int[] sizes,
            int planned,
            String unit,
            IntToDoubleFunction value) {
        List<Fit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            double v = value.applyAsDouble(n);
            points.add(new Fit.Point(n, v));
            context.figure(name + "_" + n, v, unit);
        }
        line(context, name, points, planned, unit);
    }

    private static void line(
            BenchContext context, String name, List<Fit.Point> points, int planned, String unit) {
        Fit fit = Fit.of(points);
        context.figure(name + "_slope", fit.slope(), unit + "_each");
        context.figure(name + "_fit_error", fit.worstErrorPercent(), "percent");
        context.figure(name + "_planned", fit.at(planned), unit);
    }

    private record Listed(List<org.chervillift.api.platform.ListedVm> vms) {}
}
