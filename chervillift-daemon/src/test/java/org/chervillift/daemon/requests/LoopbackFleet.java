package org.chervillift.daemon.requests;

import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.StringReader;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.chervillift.api.Sha256;
import org.chervillift.api.config.ConfigHead;
import org.chervillift.api.config.FleetConfig;
import org.chervillift.api.config.KeyRing;
import org.chervillift.api.config.Pool;
import org.chervillift.api.config.Queue;
import org.chervillift.api.config.Team;
import org.chervillift.api.config.VmSpec;
import org.chervillift.api.fleet.VmRow;
import org.chervillift.api.platform.Transaction;
import org.chervillift.core.keys.GeneratedKey;
import org.chervillift.daemon.internal.Daemon;
import org.chervillift.daemon.internal.DaemonSettings;
import org.chervillift.daemon.internal.config.ConfigRows;
import org.chervillift.daemon.internal.keys.KeyRows;
import org.chervillift.http.Json;
import org.chervillift.http.JsonClient;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.http.ReactorThread;
import org.chervillift.http.Stages;
import org.chervillift.platform.HttpPlatform;
import org.chervillift.runtime.settings.HostPort;
import org.chervillift.standin.platform.PlatformFaults;
import org.chervillift.standin.platform.PlatformServlet;

/** A simulated platform, one scripted upstream and two daemons on the loopback interface. */
final class LoopbackFleet implements AutoCloseable {

    static final GeneratedKey KEY_ALPHA = GeneratedKey.generate("alpha", new Random(1));
    static final GeneratedKey KEY_BETA = GeneratedKey.generate("beta", new Random(2));

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    final ScriptedUpstream upstream = new ScriptedUpstream();
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<ReactorThread> threads = new ArrayList<>();
    private final HostPort platform;
    private final List<HostPort> daemons = new ArrayList<>();

    LoopbackFleet() {
        ReactorThread platformThread = thread("platform");
        platform = freeAddress();
        platformThread.await(() -> listen(platformThread));
        writeInitialState(platformThread);
        daemons.add(startDaemon("entry-1"));
        daemons.add(startDaemon("entry-2"));
    }

    private ReactorThread thread(String name) {
        ReactorThread thread = new ReactorThread(name);
        threads.add(thread);
        return thread;
    }

    private Promise<Void> listen(ReactorThread thread) {
        PlatformServlet servlet =
                new PlatformServlet(thread.reactor(), new ReactorScheduler(thread.reactor()));
        HttpServer server =
                HttpServer.builder(thread.reactor(), servlet.routes())
                        .withListenAddress(platform.toSocketAddress())
                        .build();
        try {
            server.listen();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Promise.complete();
    }

    private void writeInitialState(ReactorThread thread) {
        VmSpec reachableVm = new VmSpec("vm-1", "pool", "dc", "rack", upstream.address(), 8);
        VmSpec unreachableVm =
                new VmSpec("vm-2", "gone", "dc", "rack", freeAddress().toString(), 8);
        FleetConfig config =
                new FleetConfig(
                        1,
                        List.of(new Team("alpha", 1, 50), new Team("beta", 1, 50)),
                        List.of(new Pool("pool", 0, false), new Pool("gone", 0, false)),
                        List.of(
                                new Queue("open", "pool", true),
                                new Queue("closed", "pool", false),
                                new Queue("gone", "gone", true)),
                        List.of(reachableVm, unreachableVm),
                        List.of());
        KeyRing ring = new KeyRing(1, List.of(KEY_ALPHA.grant(), KEY_BETA.grant()));
        ConfigHead head = new ConfigHead(1, "config/1", "digest", "test", 0);
        Transaction transaction =
                new Transaction(
                        "fill",
                        List.of(),
                        List.of(
                                Transaction.Write.put(ConfigRows.HEAD_KEY, Json.encode(head)),
                                Transaction.Write.put(KeyRows.RING_ROW, Json.encode(ring)),
                                row(reachableVm),
                                row(unreachableVm)));
        thread.await(
                () -> {
                    HttpPlatform client =
                            new HttpPlatform(
                                    new JsonClient(
                                            thread.reactor(), platform, TIMEOUT, Optional.empty()));
                    return Stages.toPromise(
                            client.putObject("config/1", Json.encode(config))
                                    .thenCompose(ignored -> client.commit(transaction)));
                });
    }

    private static Transaction.Write row(VmSpec vm) {
        return Transaction.Write.put(
                VmRow.key(vm.id()), Json.encode(VmRow.first(vm, Instant.EPOCH)));
    }

    private HostPort startDaemon(String id) {
        HostPort callers = freeAddress();
        String text =
                """
                [vm]
                id = %s
                data-centre = dc
                [callers]
                address = %s
                most-body-kib = 64
                [control]
                address = %s
                operators = test:%s
                [platform]
                address = %s
                timeout-ms = 300
                refresh-ms = 100
                """
                        .formatted(id, callers, freeAddress(), Sha256.hex("test"), platform);
        ReactorThread thread = thread(id);
        thread.await(() -> Stages.toPromise(daemon(thread, text).start(e -> {})));
        return callers;
    }

    private static Daemon daemon(ReactorThread thread, String text) {
        try {
            return new Daemon(
                    thread.reactor(),
                    DaemonSettings.from(
                            DaemonSettings.SCHEMA.read("test.ini", new StringReader(text))));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    HostPort address(int daemon) {
        return daemons.get(daemon);
    }

    /** Sends a request to a daemon; headers are alternating names and values. */
    HttpResponse<String> call(
            int daemon, String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(
                                URI.create("http://" + daemons.get(daemon) + "/queues" + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return http.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    void setPlatformFaults(PlatformFaults faults) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + platform + "/admin/faults"))
                        .PUT(HttpRequest.BodyPublishers.ofString(Json.encode(faults)))
                        .build();
        http.send(request, HttpResponse.BodyHandlers.discarding());
    }

    private static HostPort freeAddress() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return new HostPort("127.0.0.1", socket.getLocalPort());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        upstream.close();
        http.close();
        threads.forEach(ReactorThread::close);
    }
}
