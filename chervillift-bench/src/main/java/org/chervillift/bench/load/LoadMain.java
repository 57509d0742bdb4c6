package org.chervillift.bench.load;

import io.activej.http.HttpMethod;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorThread;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.standin.upstream.RunLedger.LedgerCounts;

/** The program that puts a load of callers on real processes and judges what they were told. */
public final class LoadMain {

    private static final List<String> OPTIONS =
            List.of(
                    "entries", "ledger", "queue", "key", "team", "limit", "callers", "work-ms",
                    "seconds", "seed");
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int EXIT_BROKEN = 1;
    private static final int EXIT_USAGE = 2;
    private static final int MOST_LINES = 10;

    private LoadMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        try {
            System.exit(run(plan(args), System.out));
        } catch (ParseException | NumberFormatException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
        }
    }

    private static LoadPlan plan(String[] args) throws ParseException {
        Options options = new Options();
        OPTIONS.forEach(
                o -> options.addOption(Option.builder().longOpt(o).hasArg().required().build()));
        CommandLine line = new DefaultParser().parse(options, args);
        return new LoadPlan(
                Arrays.stream(line.getOptionValue("entries").split(","))
                        .map(HostPort::parse)
                        .toList(),
                HostPort.parse(line.getOptionValue("ledger")),
                line.getOptionValue("queue"),
                line.getOptionValue("key"),
                line.getOptionValue("team"),
                Integer.parseInt(line.getOptionValue("limit")),
                Integer.parseInt(line.getOptionValue("callers")),
                Integer.parseInt(line.getOptionValue("work-ms")),
                Duration.ofSeconds(Long.parseLong(line.getOptionValue("seconds"))),
                Long.parseLong(line.getOptionValue("seed")));
    }

    private static int run(LoadPlan plan, PrintStream out) {
        try (ReactorThread thread = new ReactorThread("load")) {
            LoadRun run =
                    thread.await(() -> io.activej.promise.Promise.of(new LoadRun(thread, plan)));
            thread.await(run::run);
            LedgerCounts counts = ledger(thread, plan);
            List<String> broken = LoadJudge.judge(plan, run.histories(), counts);
            print(run.histories(), counts, plan, out);
            broken.stream().limit(MOST_LINES).forEach(l -> out.println("BROKEN: " + l));
            out.println("broken=" + broken.size() + " conditions seed=" + plan.seed());
            return broken.isEmpty() ? 0 : EXIT_BROKEN;
        }
    }

    private static LedgerCounts ledger(ReactorThread thread, LoadPlan plan) {
        HttpAnswer answer =
                thread.await(
                        () ->
                                new JsonClient(
                                                thread.reactor(),
                                                plan.ledger(),
                                                TIMEOUT,
                                                Optional.empty())
                                        .send(HttpMethod.GET, "/admin/ledger"));
        return Json.decode(answer.body(), LedgerCounts.class);
    }

    private static void print(
            List<RequestHistory> histories, LedgerCounts counts, LoadPlan plan, PrintStream out) {
        long completed = histories.stream().filter(RequestHistory::isCompleted).count();
        TreeMap<String, Long> attempts = new TreeMap<>();
        histories.stream()
                .flatMap(h -> h.attempts().stream())
                .forEach(a -> attempts.merge(label(a), 1L, Long::sum));
        out.println("requests=" + histories.size() + " requests");
        out.println("completed=" + completed + " requests");
        attempts.forEach(
                (label, count) -> out.println("attempts_" + label + "=" + count + " attempts"));
        out.println(
                "most_running="
                        + counts.mostRunningByTeam().getOrDefault(plan.team(), 0)
                        + " requests");
        out.println("limit=" + plan.limit() + " requests");
    }

    private static String label(Attempt attempt) {
        return switch (attempt) {
            case Attempt.Completed c -> "completed";
            case Attempt.NotRun n -> "not_run_" + n.code();
            case Attempt.Unknown u -> "unknown";
        };
    }
}
