package org.chervillift.daemon.tasks;

import static org.chervillift.http.HttpStatus.NOT_FOUND;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.chervillift.daemon.internal.DaemonEvent;
import org.chervillift.daemon.internal.SettingsProgram;
import org.chervillift.daemon.tasks.relay.PeerClient;
import org.chervillift.daemon.tasks.relay.PeerServlet;
import org.chervillift.http.Answers;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.http.ReactorWatch;
import org.chervillift.http.Reactors;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.JobServlet;
import org.chervillift.platform.fleet.PlacementAdviceClient;
import org.chervillift.platform.fleet.ReadinessServlet;
import org.chervillift.platform.fleet.RowStoreClient;
import org.chervillift.platform.fleet.VmClient;
import org.chervillift.platform.fleet.WorkerClient;
import org.chervillift.runtime.events.EventLog;
import org.chervillift.runtime.events.Field;
import org.chervillift.runtime.events.LogBudget;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.runtime.signals.Signals;
import org.chervillift.runtime.supervision.Scheduler;

/** The program that accepts jobs and runs them on the users' platform. */
public final class FleetDaemonMain {

    private static final String USAGE = "usage: FleetDaemonMain [--check] SETTINGS.ini";
    private static final int EXIT_FAILED = 1;
    private static final int MAX_LOG_LINES_PER_SECOND = 300;
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final Duration WORKER_ORDER_TIMEOUT = Duration.ofMillis(200);
    private static final Duration WORKER_POLL_TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration STORE_POLL_TIMEOUT = Duration.ofMillis(3_000);
    private static final Duration LONG_POLL_TIMEOUT = EntryVmDirectory.POLL_WAIT.plusSeconds(1);
    private static final Duration ADVICE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    /** Shorter than the server keeps connections, so that none is used while it is closed. */
    private static final Duration PEER_KEEP_ALIVE = Duration.ofSeconds(20);

    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(15);
    private static final long MAX_DRAIN_MILLIS = 2_500;

    private FleetDaemonMain() {}

    /** Runs the program. */
    public static void main(String[] args) {
        int code = run(args, System.out, System.err);
        if (code != 0) {
            System.exit(code);
        }
    }

    static int run(String[] args, PrintStream out, PrintStream err) {
        return new SettingsProgram<>(USAGE, FleetSettings::read, FleetDaemonMain::serve)
                .run(args, out, err);
    }

    private static void serve(FleetSettings settings, Path file) {
        Eventloop reactor =
                Reactors.create(
                        "daemon", fault -> EventLog.log(DaemonEvent.UNEXPECTED_ERROR, fault));
        String process = settings.vm() + "/" + Long.toHexString(System.currentTimeMillis());
        EventLog.limit(new LogBudget(MAX_LOG_LINES_PER_SECOND));
        EventLog.log(
                TaskEvent.STARTING,
                Field.of("process", process),
                Field.of("java", Runtime.version()),
                Field.of("processors", Runtime.getRuntime().availableProcessors()),
                Field.of("maxHeapBytes", Runtime.getRuntime().maxMemory()));
        reactor.keepAlive(true);
        reactor.post(() -> openOrExit(reactor, settings, file, process));
        ReactorWatch.start(reactor, FleetDaemonMain::logStall);
        reactor.run();
    }

    private static void logStall(ReactorWatch.Stall stall) {
        EventLog.log(
                TaskEvent.LOOP_HELD_UP,
                Field.of("atLeastMillis", stall.lasted().toMillis()),
                Field.of("stack", stall.stack()));
    }

    /** Opens the servers and starts the node; a process that cannot do so says why and ends. */
    private static void openOrExit(
            Eventloop reactor, FleetSettings settings, Path file, String process) {
        try {
            open(reactor, settings, file, process);
        } catch (IOException | RuntimeException | Error e) {
            EventLog.log(DaemonEvent.FAILED, e);
            EventLog.close();
            Runtime.getRuntime().halt(EXIT_FAILED);
        }
    }

    private static void open(Eventloop reactor, FleetSettings settings, Path file, String process)
            throws IOException {
        Scheduler scheduler = new ReactorScheduler(reactor);
        TaskNode node =
                new TaskNode(
                        settings,
                        scheduler,
                        platformAccess(reactor, settings),
                        process,
                        new PeerClient(a -> peerClient(reactor, a)));
        HttpServer callers =
                HttpServer.builder(reactor, new JobServlet(node::answer))
                        .withListenAddress(settings.callers().toSocketAddress())
                        .withReadWriteTimeout(CALLER_TIMEOUT)
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .build();
        HttpServer readiness =
                HttpServer.builder(reactor, new ReadinessServlet(node::readiness))
                        .withListenAddress(settings.readiness().toSocketAddress())
                        .withKeepAliveTimeout(KEEP_ALIVE)
                        .build();
        HttpServer metrics =
                HttpServer.builder(reactor, r -> metrics(node, r))
                        .withListenAddress(settings.metrics().toSocketAddress())
                        .build();
        listen(callers, settings.callers());
        listen(readiness, settings.readiness());
        listen(metrics, settings.metrics());
        List<HttpServer> servers = new ArrayList<>(List.of(callers));
        if (settings.peers().isPresent()) {
            HttpServer peers = peerServer(reactor, node, settings.peers().get());
            listen(peers, settings.peers().get());
            servers.add(peers);
        }
        EventLog.log(
                TaskEvent.LISTENING,
                Field.of("callers", settings.callers()),
                Field.of("readiness", settings.readiness()),
                Field.of("metrics", settings.metrics()));
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> shutDown(reactor, node, servers, settings),
                                "graceful-shutdown"));
        SettingsReloader reload = new SettingsReloader(file, settings, node::reconfigure);
        Signals.handle("HUP", () -> reactor.execute(reload::reload));
        reload.watch(scheduler);
        node.start();
    }

    private static void listen(HttpServer server, HostPort address) throws IOException {
        try {
            server.listen();
        } catch (IOException e) {
            throw new IOException("Cannot listen at " + address, e);
        }
    }

    private static HttpServer peerServer(Eventloop reactor, TaskNode node, HostPort address) {
        return HttpServer.builder(
                        reactor, new PeerServlet(node::answerForPeer, JobServlet::decodeJob))
                .withListenAddress(address.toSocketAddress())
                .withReadWriteTimeout(CALLER_TIMEOUT)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .build();
    }

    private static JsonClient peerClient(Eventloop reactor, HostPort peer) {
        return new JsonClient(reactor, peer, CALL_TIMEOUT, PEER_KEEP_ALIVE, Optional.empty());
    }

    private static Promise<HttpResponse> metrics(TaskNode node, HttpRequest request) {
        return request.getPath().equals("/metrics")
                ? HttpResponse.ok200().withBody(node.metrics()).toPromise()
                : Answers.text(NOT_FOUND, "The path is /metrics.");
    }

    private static TaskNode.PlatformAccess platformAccess(
            Eventloop reactor, FleetSettings settings) {
        RowStoreClient store =
                new RowStoreClient(
                        client(reactor, settings.store(), CALL_TIMEOUT),
                        client(reactor, settings.store(), CALL_TIMEOUT),
                        client(reactor, settings.store(), STORE_POLL_TIMEOUT),
                        client(reactor, settings.store(), LONG_POLL_TIMEOUT));
        return new TaskNode.PlatformAccess(
                store,
                new FleetRowCodec(),
                w -> {
                    HostPort address = HostPort.parse(w.address());
                    return new WorkerClient(
                            w.id(),
                            client(reactor, address, WORKER_ORDER_TIMEOUT),
                            client(reactor, address, WORKER_POLL_TIMEOUT));
                },
                new VmClient(client(reactor, settings.vms(), CALL_TIMEOUT)),
                settings.advice()
                        .map(a -> new PlacementAdviceClient(client(reactor, a, ADVICE_TIMEOUT))));
    }

    private static JsonClient client(Eventloop reactor, HostPort server, Duration timeout) {
        return new JsonClient(reactor, server, timeout, KEEP_ALIVE, Optional.empty());
    }

    /** Releases the lease at once, and still answers requests for the time of the drain. */
    private static void shutDown(
            Eventloop reactor, TaskNode node, List<HttpServer> servers, FleetSettings settings) {
        EventLog.log(TaskEvent.STOPPING);
        CountDownLatch drained = new CountDownLatch(1);
        long drainMillis = Math.min(MAX_DRAIN_MILLIS, settings.shutdownGrace().toMillis() / 2);
        Runnable close =
                () ->
                        Promises.all(servers.stream().map(HttpServer::close))
                                .whenComplete(drained::countDown);
        reactor.execute(
                () -> {
                    node.drain();
                    reactor.delay(drainMillis, close);
                });
        try {
            boolean clean =
                    drained.await(settings.shutdownGrace().toMillis() - 500, TimeUnit.MILLISECONDS);
            EventLog.log(TaskEvent.STOPPED, Field.of("clean", clean));
            EventLog.close();
            Runtime.getRuntime().halt(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
