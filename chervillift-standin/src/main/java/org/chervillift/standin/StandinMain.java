package org.chervillift.standin;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpServer;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.chervillift.api.ChervilliftException;
import org.chervillift.api.platform.ListedVm;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.Json;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.http.ReactorThread;
import org.chervillift.http.Reactors;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.standin.platform.PlatformServlet;
import org.chervillift.standin.tasks.FleetServer;
import org.chervillift.standin.upstream.RunLedger;
import org.chervillift.standin.upstream.UpstreamServlet;

/** The program that runs a stand-in, or switches the faults of one that runs. */
public final class StandinMain {

    private static final String USAGE =
            """
            usage: chervillift-standin platform --listen ADDRESSES
                   chervillift-standin upstream --listen ADDRESSES --id IDS [--slots N]
                   chervillift-standin fleet --listen ADDRESS --workers ADDRESSES [--run-ms N]
                   chervillift-standin list-vm --target ADDRESS --vm JSON
                   chervillift-standin fault --target ADDRESS --faults JSON
                   chervillift-standin stats --target ADDRESS
                   chervillift-standin ledger --target ADDRESS
            """;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_FAILED = 1;
    private static final String FLEET_HOST = "jobs.example";
    private static final String RUN_MILLIS = "500";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private StandinMain() {}

    /** Runs the program. */
    public static void main(String[] args) throws IOException {
        int code = run(args, System.out, System.err);
        if (code != 0) {
            System.exit(code);
        }
    }

    private static int run(String[] args, PrintStream out, PrintStream err) throws IOException {
        if (args.length == 0) {
            err.print(USAGE);
            return EXIT_USAGE;
        }
        try {
            CommandLine line = parse(Arrays.copyOfRange(args, 1, args.length));
            return runCommand(args[0], line, out, err);
        } catch (ParseException | ChervilliftException e) {
            err.println(e.getMessage());
            return EXIT_USAGE;
        }
    }

    private static CommandLine parse(String[] args) throws ParseException {
        Options options = new Options();
        for (String name :
                new String[] {
                    "listen", "id", "slots", "workers", "run-ms", "target", "vm", "faults"
                }) {
            options.addOption(Option.builder().longOpt(name).hasArg().build());
        }
        return new DefaultParser().parse(options, args);
    }

    private static int runCommand(
            String command, CommandLine line, PrintStream out, PrintStream err)
            throws IOException, ParseException {
        switch (command) {
            case "platform" -> servePlatform(line);
            case "upstream" -> serveUpstreams(line);
            case "fleet" -> serveFleet(line);
            case "list-vm" -> {
                ListedVm vm = Json.decode(value(line, "vm"), ListedVm.class);
                return ask(line, HttpMethod.PUT, "/admin/vms", Optional.of(Json.encode(vm)), out);
            }
            case "fault" -> {
                Optional<String> faults = Optional.of(value(line, "faults"));
                return ask(line, HttpMethod.PUT, "/admin/faults", faults, out);
            }
            case "stats" -> {
                return ask(line, HttpMethod.GET, "/admin/stats", Optional.empty(), out);
            }
            case "ledger" -> {
                return ask(line, HttpMethod.GET, "/admin/ledger", Optional.empty(), out);
            }
            default -> {
                err.print(USAGE);
                return EXIT_USAGE;
            }
        }
        return 0;
    }

    private static String value(CommandLine line, String name) throws ParseException {
        String value = line.getOptionValue(name);
        if (value == null) {
            throw new ParseException("--" + name + " is missing.");
        }
        return value;
    }

    /** Serves one platform, which is reached by several ways, one an address. */
    private static void servePlatform(CommandLine line) throws IOException, ParseException {
        Eventloop reactor = Reactors.create("platform", Throwable::printStackTrace);
        PlatformServlet servlet = new PlatformServlet(reactor, new ReactorScheduler(reactor));
        for (String address : value(line, "listen").split(",")) {
            listen(reactor, servlet.otherWay().routes(), address);
        }
        run(reactor);
    }

    /** Serves upstreams that share a ledger, one an address. */
    private static void serveUpstreams(CommandLine line) throws IOException, ParseException {
        Eventloop reactor = Reactors.create("upstream", Throwable::printStackTrace);
        int slots = Integer.parseInt(line.getOptionValue("slots", "8"));
        String[] addresses = value(line, "listen").split(",");
        String[] ids = value(line, "id").split(",");
        if (addresses.length != ids.length) {
            throw new ParseException("--listen and --id must have the same number of entries.");
        }
        RunLedger ledger = new RunLedger();
        for (int i = 0; i < ids.length; i++) {
            listen(
                    reactor,
                    new UpstreamServlet(reactor, ids[i], slots, ledger).routes(),
                    addresses[i]);
        }
        run(reactor);
    }

    /** Serves the users' platform, with one worker an address. */
    private static void serveFleet(CommandLine line) throws IOException, ParseException {
        Eventloop reactor = Reactors.create("fleet", Throwable::printStackTrace);
        Duration runTime =
                Duration.ofMillis(Long.parseLong(line.getOptionValue("run-ms", RUN_MILLIS)));
        FleetServer server = new FleetServer(reactor, FLEET_HOST, runTime);
        listen(reactor, server.routes(), value(line, "listen"));
        List<String> addresses = List.of(value(line, "workers").split(","));
        List<AsyncServlet> workers = server.addWorkers(addresses);
        for (int i = 0; i < workers.size(); i++) {
            listen(reactor, workers.get(i), addresses.get(i));
        }
        run(reactor);
    }

    private static void listen(Eventloop reactor, AsyncServlet servlet, String address)
            throws IOException {
        HttpServer.builder(reactor, servlet)
                .withListenAddress(HostPort.parse(address).toSocketAddress())
                .build()
                .listen();
    }

    private static void run(Eventloop reactor) {
        reactor.keepAlive(true);
        System.out.println("listening");
        reactor.run();
    }

    private static int ask(
            CommandLine line,
            HttpMethod method,
            String path,
            Optional<String> body,
            PrintStream out)
            throws ParseException {
        HostPort target = HostPort.parse(value(line, "target"));
        try (ReactorThread thread = new ReactorThread("standin-client")) {
            HttpAnswer answer =
                    thread.await(
                            () ->
                                    new JsonClient(
                                                    thread.reactor(),
                                                    target,
                                                    TIMEOUT,
                                                    Optional.empty())
                                            .send(method, path, body));
            out.println(answer.body());
            return answer.isSuccess() ? 0 : EXIT_FAILED;
        }
    }
}
