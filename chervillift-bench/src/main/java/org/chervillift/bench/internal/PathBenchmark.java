package org.chervillift.bench.internal;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.Optional;
import java.util.function.IntFunction;
import org.HdrHistogram.Histogram;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.RowKey;
import org.chervillift.api.platform.Transaction;
import org.chervillift.daemon.internal.Daemon;
import org.chervillift.daemon.internal.DaemonSettings;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.http.HttpAnswer;
import org.chervillift.http.IpNumberResolver;
import org.chervillift.http.Json;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.http.ReactorThread;
import org.chervillift.http.Stages;
import org.chervillift.platform.HttpPlatform;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.standin.platform.PlatformServlet;
import org.chervillift.standin.upstream.UpstreamServlet;

/**
 * Measures a request through an entry VM beside the same request sent straight to the upstream.
 *
 * <p>Daemon, stand-ins and callers each have an event loop of their own in one process.
 */
public final class PathBenchmark implements Benchmark {

    private static final int WARM_UP = 20_000;
    private static final int REQUESTS = 40_000;
    private static final int CALLERS = 16;
    private static final int SLOTS = 64;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long MOST_NANOS = 10_000_000_000L;
    private static final double MEDIAN = 50;
    private static final double NINETY_NINTH = 99;

    @Override
    public String name() {
        return "path";
    }

    @Override
    public String summary() {
        return "A request through an entry VM beside one straight to the upstream.";
    }

    @Override
    public void run(BenchContext context) {
        try (ReactorThread platform = new ReactorThread("platform");
                ReactorThread upstream = new ReactorThread("upstream");
                ReactorThread daemon = new ReactorThread("daemon");
                ReactorThread callers = new ReactorThread("callers")) {
            HostPort platformAddress = servePlatform(platform);
            HostPort upstreamAddress = serveUpstream(upstream);
            fill(callers, platformAddress, upstreamAddress);
            HostPort daemonAddress = startDaemon(daemon, platformAddress);
            Caller caller = new Caller(callers, context);
            String straight = "http://" + upstreamAddress + "/work";
            String through = "http://" + daemonAddress + "/queues/bench/work";
            measure(context, caller, "straight_get", HttpMethod.GET, straight, upstream);
            measure(context, caller, "through_get", HttpMethod.GET, through, daemon);
            measure(context, caller, "straight_post", HttpMethod.POST, straight, upstream);
            measure(context, caller, "through_post", HttpMethod.POST, through, daemon);
        }
    }

    private static void measure(
            BenchContext context,
            Caller caller,
            String label,
            HttpMethod method,
            String url,
            ReactorThread server) {
        caller.send(method, url, WARM_UP);
        long cpuBefore = cpuNanos(server);
        Histogram nanos = caller.send(method, url, REQUESTS);
        double cpuSeconds = (cpuNanos(server) - cpuBefore) / NANOS_PER_SECOND;
        context.figure(
                label + "_median", nanos.getValueAtPercentile(MEDIAN) / NANOS_PER_MICRO, "us");
        context.figure(
                label + "_p99", nanos.getValueAtPercentile(NINETY_NINTH) / NANOS_PER_MICRO, "us");
        context.figure(label + "_per_core", REQUESTS / cpuSeconds, "requests/s");
    }

    private static long cpuNanos(ReactorThread thread) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        return threads.getThreadCpuTime(thread.reactor().getEventloopThread().threadId());
    }

    private static HostPort servePlatform(ReactorThread thread) {
        Eventloop reactor = thread.reactor();
        PlatformServlet servlet = new PlatformServlet(reactor, new ReactorScheduler(reactor));
        return thread.await(
                () ->
                        listen(
                                HttpServer.builder(reactor, servlet.routes()),
                                new HostPort("127.0.0.1", 0)));
    }

    private static HostPort serveUpstream(ReactorThread thread) {
        Eventloop reactor = thread.reactor();
        UpstreamServlet servlet = new UpstreamServlet(reactor, "bench", SLOTS);
        return thread.await(
                () ->
                        listen(
                                HttpServer.builder(reactor, servlet.routes()),
                                new HostPort("127.0.0.1", 0)));
    }

    private static Promise<HostPort> listen(HttpServer.Builder builder, HostPort address) {
        HttpServer server = builder.withListenAddress(address.toSocketAddress()).build();
        try {
            server.listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        int port = server.getBoundAddresses().getFirst().getPort();
        return Promise.of(new HostPort(address.host(), port));
    }

    private static void fill(ReactorThread thread, HostPort platform, HostPort upstream) {
        VmSpec vm = new VmSpec("vm-1", "pool", "dc", "rack", upstream.toString(), SLOTS);
        FleetConfig config =
                new FleetConfig(
                        1,
                        java.util.List.of(),
                        java.util.List.of(new Pool("pool", 0, false)),
                        java.util.List.of(new Queue("bench", "pool", true)),
                        java.util.List.of(vm),
                        java.util.List.of());
        ConfigHead head = new ConfigHead(1, "config/1", "digest", "bench", 0);
        VmRow row = VmRow.first(vm, java.time.Instant.EPOCH);
        Transaction transaction =
                new Transaction(
                        "fill",
                        java.util.List.of(),
                        java.util.List.of(
                                Transaction.Write.put(ConfigRows.HEAD_KEY, Json.encode(head)),
                                Transaction.Write.put(
                                        new RowKey(VmRow.TABLE, "vm-1"), Json.encode(row))));
        thread.await(
                () -> {
                    HttpPlatform client =
                            new HttpPlatform(
                                    new JsonClient(
                                            thread.reactor(),
                                            platform,
                                            Duration.ofSeconds(5),
                                            Optional.empty()));
                    return Stages.toPromise(
                            client.putObject("config/1", Json.encode(config))
                                    .thenCompose(ignored -> client.commit(transaction)));
                });
    }

    private static HostPort startDaemon(ReactorThread thread, HostPort platform) {
        HostPort callers = thread.await(PathBenchmark::freeAddress);
        HostPort control = thread.await(PathBenchmark::freeAddress);
        DaemonSettings settings = BenchSettings.daemon(callers, control, platform);
        thread.await(
                () ->
                        Stages.toPromise(
                                new Daemon(thread.reactor(), settings)
                                        .start(Throwable::printStackTrace)));
        return callers;
    }

    private static Promise<HostPort> freeAddress() {
        try (java.net.ServerSocket socket = new java.net.ServerSocket(0)) {
            return Promise.of(new HostPort("127.0.0.1", socket.getLocalPort()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Keeps so many requests in flight until all are answered. */
    private static final class Caller {
        private final ReactorThread thread;
        private final BenchContext context;
        private final HttpClient client;

        Caller(ReactorThread thread, BenchContext context) {
            this.thread = thread;
            this.context = context;
            client =
                    HttpClient.builder(thread.reactor(), new IpNumberResolver())
                            .withKeepAliveTimeout(Duration.ofSeconds(10))
                            .build();
        }

        Histogram send(HttpMethod method, String url, int requests) {
            Histogram nanos = new Histogram(MOST_NANOS, 3);
            IntFunction<Promise<Void>> chain = i -> chain(method, url, requests / CALLERS, nanos);
            thread.await(
                    () -> {
                        Promise<Void> all = Promise.complete();
                        for (int i = 0; i < CALLERS; i++) {
                            all = all.both(chain.apply(i));
                        }
                        return all;
                    });
            return nanos;
        }

        /** Completes one promise at the end, since a chain of promises is as deep as it is long. */
        private Promise<Void> chain(HttpMethod method, String url, int left, Histogram nanos) {
            SettablePromise<Void> done = new SettablePromise<>();
            step(method, url, left, nanos, done);
            return done;
        }

        private void step(
                HttpMethod method,
                String url,
                int left,
                Histogram nanos,
                SettablePromise<Void> done) {
            if (left == 0) {
                done.set(null);
                return;
            }
            long start = System.nanoTime();
            HttpRequest request =
                    HttpRequest.builder(method, url)
                            .withHeader(HttpHeaders.CONNECTION, "keep-alive")
                            .build();
            client.request(request)
                    .then(r -> r.loadBody().map(b -> new HttpAnswer(r.getCode(), b.toString())))
                    .whenResult(a -> note(a, System.nanoTime() - start, nanos))
                    .async()
                    .whenResult(a -> step(method, url, left - 1, nanos, done))
                    .whenException(done::setException);
        }

        private void note(HttpAnswer answer, long nanos, Histogram histogram) {
            if (!answer.isSuccess()) {
                throw new ConditionBrokenException(
                        "status " + answer.status() + ": " + answer.body(), context.seed());
            }
            histogram.recordValue(nanos);
        }
    }
}
