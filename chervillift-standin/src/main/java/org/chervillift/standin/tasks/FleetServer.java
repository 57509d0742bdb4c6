package org.chervillift.standin.tasks;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.platform.Transaction.Write;
import org.chervillift.api.tasks.Customer;
import org.chervillift.api.tasks.Manifest;
import org.chervillift.api.tasks.PoolPolicy;
import org.chervillift.api.tasks.QueuePolicy;
import org.chervillift.api.tasks.QueueRoute;
import org.chervillift.api.tasks.Resources;
import org.chervillift.api.tasks.WaveOrder;
import org.chervillift.api.tasks.WorkerEntry;
import org.chervillift.http.Answers;
import org.chervillift.http.HttpStatus;
import org.chervillift.http.Json;
import org.chervillift.http.ReactorScheduler;
import org.chervillift.platform.fleet.FleetRowCodec;
import org.chervillift.platform.fleet.FleetRowWriter;
import org.chervillift.platform.fleet.PlacementAdviceServlet;
import org.chervillift.platform.fleet.RowStoreServlet;
import org.chervillift.platform.fleet.VmServlet;
import org.chervillift.platform.fleet.WorkerServlet;
import org.chervillift.runtime.supervision.Scheduler;

/**
 * The users' platform as a small server: a store, a list of VMs, advice, and workers.
 *
 * <p>It has one pool, one queue and one customer. Used by one thread.
 */
public final class FleetServer {

    /** The start of the paths of the queue. */
    public static final String PATH_PREFIX = "/proofs/";

    /** The key of the customer. */
    public static final String KEY = "demo-key";

    private static final String POOL = "proofs";
    private static final String STANDBY = "standby";
    private static final Resources CAPACITY = new Resources(4_000, 8_192, 0);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_000);
    private static final Duration AWAY = Duration.ofMillis(1_500);

    private final NioReactor reactor;
    private final MemoryStore store;
    private final MemoryFleet fleet;
    private final MemoryAdvice advice;

    /** What ails the store. */
    private record Faults(StoreFault store) {}

    /** How far a wave is, as the operator reads it. */
    private record WaveStatus(String row) {}

    /**
     * Creates a platform without VMs.
     *
     * @param host the host name by which callers reach the queue
     * @param runTime how long each task takes
     */
    public FleetServer(NioReactor reactor, String host, Duration runTime) {
        Scheduler scheduler = new ReactorScheduler(reactor);
        this.reactor = reactor;
        this.store = new MemoryStore(scheduler);
        this.fleet =
                new MemoryFleet(
                        scheduler,
                        store,
                        FleetRowWriter::workerWrite,
                        new FleetTimes(runTime, AWAY, AWAY),
                        Set.of(STANDBY));
        this.advice = new MemoryAdvice(scheduler, w -> true);
        put(FleetRowWriter.configurationWrite(manifest(host)));
    }

    private static Manifest manifest(String host) {
        QueuePolicy policy = new QueuePolicy("proofs", POOL, 0, 3, 2, 1_000, false);
        return Manifest.of(
                1,
                List.of(new QueueRoute(host, PATH_PREFIX, false, policy)),
                List.of(new PoolPolicy(POOL, true, false), new PoolPolicy(STANDBY, true, true)),
                List.of(new Customer("glenside", Set.of(KEY), 1, Resources.NONE)),
                65_536);
    }

    private void put(Write write) {
        store.put(write.key(), write.value().orElseThrow());
    }

    /**
     * Adds VMs with workers, one for each address.
     *
     * @param addresses host and port of each
     * @return the servlets to be served at the addresses
     */
    public List<AsyncServlet> addWorkers(List<String> addresses) {
        List<AsyncServlet> servlets = new ArrayList<>();
        for (String address : addresses) {
            String number = Integer.toString(servlets.size() + 1);
            fleet.add(
                    new WorkerEntry(
                            "worker-" + number,
                            0,
                            "vm-" + number,
                            POOL,
                            address,
                            "dc-a",
                            false,
                            0,
                            CAPACITY,
                            List.of("standard", "rack-" + number)));
            RoutingServlet.Builder routes = RoutingServlet.builder(reactor);
            new WorkerServlet(fleet::calls).addTo(routes);
            servlets.add(routes.build());
        }
        fleet.sendHeartbeats(HEARTBEAT);
        return servlets;
    }

    /** Returns the servlet of the store, the VMs and the advice, and of the switches. */
    public AsyncServlet routes() {
        RoutingServlet.Builder routes = RoutingServlet.builder(reactor);
        new RowStoreServlet(store).addTo(routes);
        new VmServlet(fleet).addTo(routes);
        new PlacementAdviceServlet(advice).addTo(routes);
        return routes.with(HttpMethod.GET, "/admin/starts", r -> Answers.json(fleet.starts()))
                .with(HttpMethod.PUT, "/admin/faults", this::setFaults)
                .with(HttpMethod.PUT, "/admin/waves", this::orderWave)
                .with(HttpMethod.GET, "/admin/waves/:number", this::waveStatus)
                .build();
    }

    private Promise<HttpResponse> setFaults(HttpRequest request) {
        return body(request)
                .then(
                        text -> {
                            store.setFault(Json.decode(text, Faults.class).store());
                            return Answers.text(HttpStatus.OK, "set");
                        });
    }

    private Promise<HttpResponse> orderWave(HttpRequest request) {
        return body(request)
                .then(
                        text -> {
                            put(FleetRowWriter.waveOrderWrite(Json.decode(text, WaveOrder.class)));
                            return Answers.text(HttpStatus.OK, "ordered");
                        });
    }

    private Promise<HttpResponse> waveStatus(HttpRequest request) {
        long number = Long.parseLong(request.getPathParameter("number"));
        Optional<String> row = store.value(new FleetRowCodec().waveStatusKey(number));
        return row.map(r -> Answers.json(new WaveStatus(r)))
                .orElseGet(() -> Answers.text(HttpStatus.NOT_FOUND, "The wave has no status."));
    }

    private static Promise<String> body(HttpRequest request) {
        return request.loadBody().map(b -> b.getString(StandardCharsets.UTF_8));
    }
}
