package org.chervillift.bench;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.bench.config.ConfigSoak;
import org.chervillift.bench.internal.BenchContext;
import org.chervillift.bench.internal.Benchmark;
import org.chervillift.bench.internal.ConditionBrokenException;
import org.chervillift.bench.internal.PathBenchmark;
import org.chervillift.bench.internal.PlanBenchmark;
import org.chervillift.bench.internal.RoutingBenchmark;
import org.chervillift.bench.internal.SoakBenchmark;
import org.chervillift.bench.internal.SurgeBenchmark;
import org.chervillift.bench.internal.capacity.CapacityBenchmark;
import org.chervillift.bench.internal.membership.ConfigBenchmark;
import org.chervillift.bench.internal.membership.MembershipBenchmark;
import org.chervillift.bench.limits.LimitBenchmark;
import org.chervillift.bench.waves.WavesBenchmark;

/** The program that runs one measurement from a fixed seed. */
public final class BenchMain {

    private static final List<Benchmark> BENCHMARKS =
            List.of(
                    new PathBenchmark(),
                    new WavesBenchmark(),
                    new SoakBenchmark(),
                    new LimitBenchmark(),
                    new ConfigSoak(),
                    new MembershipBenchmark(),
                    new ConfigBenchmark(),
                    new CapacityBenchmark(),
                    new SurgeBenchmark(),
                    new RoutingBenchmark(),
                    new PlanBenchmark());
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;

    private BenchMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err));
    }

    /**
     * Runs one measurement, or lists all.
     *
     * @return the exit code
     */
    static int run(String[] args, PrintStream out, PrintStream err) {
        if (args.length == 0 || args[0].equals("list")) {
            BENCHMARKS.forEach(b -> out.printf("%-12s %s%n", b.name(), b.summary()));
            return args.length == 0 ? EXIT_USAGE : 0;
        }
        Optional<Benchmark> benchmark =
                BENCHMARKS.stream().filter(b -> b.name().equals(args[0])).findFirst();
        if (benchmark.isEmpty()) {
            err.println("There is no measurement " + args[0] + ".");
            return EXIT_USAGE;
        }
        try {
            benchmark.get().run(context(Arrays.copyOfRange(args, 1, args.length), out));
            return 0;
        } catch (ParseException | NumberFormatException e) {
            err.println(e.getMessage());
            return EXIT_USAGE;
        } catch (ConditionBrokenException e) {
            err.println("BROKEN: " + e.getMessage());
            return EXIT_BROKEN;
        }
    }

    private static BenchContext context(String[] args, PrintStream out) throws ParseException {
        Options options = new Options();
        options.addOption(Option.builder().longOpt("seed").hasArg().build());
        options.addOption(Option.builder().longOpt("minutes").hasArg().build());
        CommandLine line = new DefaultParser().parse(options, args);
        long seed = Long.parseLong(line.getOptionValue("seed", "1"));
        int minutes = Integer.parseInt(line.getOptionValue("minutes", "10"));
        return new BenchContext(seed, minutes, out);
    }
}
